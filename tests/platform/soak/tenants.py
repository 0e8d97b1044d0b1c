"""Tenants of the soak: their limits, and keys that are rotated while callers use them."""

import random

#: Requests per second and burst by tenant; 0 means no limit.
TENANTS = {"open": (0, 0), "roomy": (150, 150), "tight": (12, 12)}
#: Written to the programs' settings: window in seconds, relative overshoot, and slack in requests.
QUOTA_WINDOW, QUOTA_OVERSHOOT, QUOTA_SLACK = 5.0, 0.1, 20
#: Time between the acknowledgement of a version and the callers' use of its keys, in seconds.
KEY_USE_DELAY = 2.0
#: Minimum time between the acknowledgement of a key generation and the next one, in seconds.
GENERATION_GAP = 4.0


class KeyRing:
    """Rotating keys: two generations are valid at a time; callers use the newest one in force."""

    in_use = True

    def __init__(self, clock, seed):
        self.clock = clock
        self.random = random.Random(seed)
        self.generation = 1
        self.acknowledged = {0: -KEY_USE_DELAY}

    @staticmethod
    def key(tenant, generation):
        return f"key-{tenant}-{generation}"

    def configuration(self):
        """Returns the tenants of the next configuration; starts a new key generation when due."""
        newest = self.acknowledged.get(self.generation)
        if newest is not None and self.clock() - newest > GENERATION_GAP:
            self.generation += 1
        valid = (self.generation, self.generation - 1)
        return [{"Name": name, "ApiKeys": [self.key(name, number) for number in valid],
                 "Priority": 0, "RatePerS": rate, "Burst": burst}
                for name, (rate, burst) in TENANTS.items()]

    def on_acknowledged(self):
        """Records that the latest configuration was acknowledged."""
        self.acknowledged.setdefault(self.generation, self.clock())

    def current(self, tenant):
        settled = [number for number, at in self.acknowledged.items()
                   if self.clock() - at >= KEY_USE_DELAY]
        return self.key(tenant, max(settled))

    def forged(self):
        """Returns an invalid key: empty, made up, or of an unknown tenant."""
        return self.random.choice(["", f"made-up-{self.random.randrange(99)}", "key-nobody-1"])


class NoKeys:
    """Replaces KeyRing when the configuration has no tenants: callers send no key."""

    in_use = False

    @staticmethod
    def configuration():
        return None

    def on_acknowledged(self):
        pass


def limit_of(tenant):
    """Returns the maximum requests in a window, with overshoot and slack; None for no limit."""
    rate, burst = TENANTS[tenant]
    if rate == 0:
        return None
    return (rate * QUOTA_WINDOW + burst) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
