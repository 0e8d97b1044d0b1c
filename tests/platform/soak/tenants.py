"""Tenants of the soak: their limits, and keys that the operator rotates while callers use them."""

import random

#: Name, requests a second and burst; 0 sets no limit.
TENANTS = {"open": (0, 0), "roomy": (150, 150), "tight": (12, 12)}
#: As in the settings of the programs.
QUOTA_WINDOW, QUOTA_OVERSHOOT, QUOTA_SLACK = 5.0, 0.1, 20
#: Callers use a key this long after the version that brought it was acknowledged, in seconds.
KEY_SETTLES = 2.0
#: A further generation of keys comes no sooner after the one before was acknowledged.
GENERATION_GAP = 4.0


class KeyRing:
    """Two generations of keys are valid at any time; callers use the newest that is in force."""

    in_use = True

    def __init__(self, clock, seed):
        self.clock = clock
        self.random = random.Random(seed)
        self.generation = 1
        self.acknowledged = {0: -KEY_SETTLES}

    @staticmethod
    def key(tenant, generation):
        return f"key-{tenant}-{generation}"

    def configuration(self):
        """The configuration's part; begins a generation when it is time."""
        newest = self.acknowledged.get(self.generation)
        if newest is not None and self.clock() - newest > GENERATION_GAP:
            self.generation += 1
        valid = (self.generation, self.generation - 1)
        return [{"Name": name, "ApiKeys": [self.key(name, number) for number in valid],
                 "Priority": 0, "RatePerS": rate, "Burst": burst}
                for name, (rate, burst) in TENANTS.items()]

    def took(self):
        """The configuration that was made last has been acknowledged."""
        self.acknowledged.setdefault(self.generation, self.clock())

    def current(self, tenant):
        settled = [number for number, at in self.acknowledged.items()
                   if self.clock() - at >= KEY_SETTLES]
        return self.key(tenant, max(settled))

    def forged(self):
        """No key, one that never was, or one of a tenant that isn't."""
        return self.random.choice(["", f"made-up-{self.random.randrange(99)}", "key-nobody-1"])


class NoKeys:
    """Stands in for a KeyRing where the configuration has no tenants: callers send no key."""

    in_use = False

    @staticmethod
    def configuration():
        return None

    def took(self):
        pass


def limit_of(tenant):
    """Requests that may run within a window, with the allowance; None without a limit."""
    rate, burst = TENANTS[tenant]
    if rate == 0:
        return None
    return (rate * QUOTA_WINDOW + burst) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
