"""Organisations of the soak: keys that come and go, one organisation far above its quota, and what
callers and backend servers must not see of either."""

# Settings of the nodes; the bounds below are what they promise.
KEY_AGE_S = 2.0
QUOTA_WINDOW_S = 4.0
QUOTA_OVER = 0.1
QUOTA_SLACK = 40
FLAGS = [
    f"--key_copy_age_ms={int(KEY_AGE_S * 1000)}",
    f"--quota_window_s={QUOTA_WINDOW_S}",
    f"--quota_over={QUOTA_OVER}",
    f"--quota_slack={QUOTA_SLACK}",
]
PER_SECOND = 20
BURST = 20
KEPT_KEYS = 2
STEADY = "steady"
HOT = "hot"
HOT_KEY = "key-of-hot"


class Organisations:
    """The declared organisations, with when each key was added and taken away."""

    def __init__(self, clock):
        self.clock = clock
        self.added = {}
        self.revoked = {}  # When the state without the key was confirmed.
        self.withdrawn = {}  # When it was sent: it may be in force from then on.
        self._last = 0
        for _ in range(KEPT_KEYS):
            self._add()

    def _add(self):
        self._last += 1
        self.added[f"key-{self._last}"] = self.clock()

    def good_keys(self):
        return [key for key in self.added if key not in self.revoked]

    def declared(self):
        return [
            {"name": STEADY, "api_keys": self.good_keys()},
            {"name": HOT, "api_keys": [HOT_KEY], "rate_per_s": PER_SECOND, "burst": BURST},
        ]

    async def replace_key(self, platform):
        """The oldest key goes and a new one comes; confirmed when this returns."""
        oldest = self.good_keys()[0]
        self._add()
        declared = [one if one["name"] == HOT else {**one, "api_keys": [k for k in one["api_keys"] if k != oldest]}
                    for one in self.declared()]
        self.withdrawn[oldest] = self.clock()
        await platform.declare(declared)
        self.revoked[oldest] = self.clock()

    def pick(self, random):
        """Mostly a key that is good; sometimes one that is not any more."""
        if self.revoked and random.random() < 0.3:
            return random.choice(list(self.revoked))
        return random.choice(self.good_keys())

    def owner(self, key):
        return HOT if key == HOT_KEY else STEADY

    def was_good_all_the_time(self, key, started, ended):
        """Known to all nodes that may serve at all, and not taken away before the answer."""
        if key == HOT_KEY:
            return True
        return self.added[key] + KEY_AGE_S < started and self.withdrawn.get(key, float("inf")) > ended


def broken_promises(outcomes, known, organisations):
    runs, ran_for = known["runs"], known["ran_for"]
    for one in outcomes:
        ran = runs.get(one.id, 0) > 0
        if ran and ran_for.get(one.id) != organisations.owner(one.key):
            yield f"{one.id} ran for {ran_for.get(one.id)!r} with {one.key}"
        if ran and one.started > organisations.revoked.get(one.key, float("inf")) + KEY_AGE_S:
            late = one.started - organisations.revoked[one.key]
            yield f"{one.id} ran on {one.node.name} {late:.2f} s after its key was taken away"
        if one.status == 401 and organisations.was_good_all_the_time(one.key, one.started, one.ended):
            yield f"{one.id} on {one.node.name}: 401 for a good key"
        if one.status == 429 and one.key != HOT_KEY:
            yield f"{one.id} on {one.node.name}: 429 without a quota"
    if known["keys_seen"]:
        yield f"{known['keys_seen']} requests reached a server with their key"
    yield from over_quota(outcomes, runs)


def over_quota(outcomes, runs):
    hot = sorted((one.started, one.ended) for one in outcomes if one.key == HOT_KEY and runs.get(one.id, 0))
    most = (PER_SECOND * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVER) + QUOTA_SLACK
    for begin, _ in hot:
        count = sum(begin <= started and ended <= begin + QUOTA_WINDOW_S for started, ended in hot)
        if count > most:
            yield f"{count} requests of the hot organisation ran within {QUOTA_WINDOW_S} s from {begin:.2f} on"
            return
