"""A randomized fault soak of the programs of the users' platform on one machine."""
