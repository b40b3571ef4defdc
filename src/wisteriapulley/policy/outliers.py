"""Takes a target out that is slow by comparison with its peers."""

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

# A target is slow when it takes this many times what its peers take for alike
# work; below that placement by outstanding work copes by itself.
SLOW_FACTOR = 3.0
# Probed back only when it is clearly well, so that it does not flap.
RECOVERED_FACTOR = 1.5
# One request says little; three agree.
MIN_SAMPLES = 3
# With fewer there is no telling which of them is the odd one.
MIN_TARGETS = 3
# At most this share is out at once: when many are slow, the load is the cause,
# and taking targets out would make it worse.
MAX_EJECTED_FRACTION = 0.34
MIN_PROBE_BACKOFF_S = 5.0
MAX_PROBE_BACKOFF_S = 60.0
SMOOTHING = 0.3


class Ejection(NamedTuple):
    """A target that is out, and when it is next probed."""

    probe_s: float
    backoff_s: float


class OutlierDetector:
    """Ratio of taken to expected time for each target.

    Harm prevented: one target ten times slower takes a share of the requests
    as long as it has a free place, and their callers wait ten times as long.
    """

    def __init__(self):
        self.ratios: dict[str, float] = {}
        self.samples: dict[str, int] = {}
        self.ejected: dict[str, Ejection] = {}

    def record(
        self, node_id: str, ratio: float, now_s: float, probe: bool = False
    ) -> None:
        """Take in how long a request took over what was expected.

        Parameters
        ----------
        node_id : str
            Where it ran, or still runs.
        ratio : float
            Seconds taken over seconds expected.
        now_s : float
            Time of the sample.
        probe : bool
            Whether the request was sent to probe a target that was out; the
            others that it held when it was taken out say nothing new.
        """
        if node_id in self.ejected:
            if probe:
                self.evaluate_probe(node_id, ratio, now_s)
            return
        known = self.ratios.get(node_id, ratio)
        self.ratios[node_id] = known + SMOOTHING * (ratio - known)
        self.samples[node_id] = self.samples.get(node_id, 0) + 1
        if self.is_slow(node_id):
            self.ejected[node_id] = Ejection(
                now_s + MIN_PROBE_BACKOFF_S, MIN_PROBE_BACKOFF_S
            )

    def median_peer_ratio(self, node_id: str) -> float:
        """Return the median ratio of the other targets."""
        peers = [
            ratio
            for name, ratio in self.ratios.items()
            if name != node_id and name not in self.ejected
        ]
        return median(peers) if peers else 0.0

    def is_slow(self, node_id: str) -> bool:
        """Tell whether a target is to be taken out."""
        count = len(self.ratios)
        if count < MIN_TARGETS or self.samples[node_id] < MIN_SAMPLES:
            return False
        if len(self.ejected) + 1 > max(1, int(count * MAX_EJECTED_FRACTION)):
            return False
        peers = self.median_peer_ratio(node_id)
        return peers > 0 and self.ratios[node_id] > SLOW_FACTOR * peers

    def evaluate_probe(self, node_id: str, ratio: float, now_s: float) -> None:
        """Take a target back in after a good probe, or wait for longer."""
        if ratio <= RECOVERED_FACTOR * max(1.0, self.median_peer_ratio(node_id)):
            del self.ejected[node_id]
            self.ratios[node_id] = ratio
            return
        backoff_s = min(MAX_PROBE_BACKOFF_S, self.ejected[node_id].backoff_s * 2)
        self.ejected[node_id] = Ejection(now_s + backoff_s, backoff_s)

    def next_probe(self, now_s: float) -> str | None:
        """Return a target that is to be probed, and book the probe."""
        for node_id, ejection in self.ejected.items():
            if ejection.probe_s <= now_s:
                probe_s = now_s + ejection.backoff_s
                self.ejected[node_id] = ejection._replace(probe_s=probe_s)
                return node_id
        return None

    def retain(self, names: Iterable[str]) -> None:
        """Forget targets that are gone."""
        for node_id in set(self.ratios) - set(names):
            self.ratios.pop(node_id)
            self.samples.pop(node_id)
            self.ejected.pop(node_id, None)
