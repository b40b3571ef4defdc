"""Outlier ejection: takes targets out of service that are slower than their peers."""

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

# A target is slow when comparable work takes this many times as long as at its peers;
# smaller differences are handled by placement by outstanding work.
SLOW_FACTOR = 3.0
# A probed target returns only if it is clearly healthy, so that it does not flap.
RECOVERED_FACTOR = 1.5
# Samples needed to eject a target: a single slow request is no evidence.
MIN_SAMPLES = 3
# Targets needed to eject one: with fewer it is unclear which of them is the outlier.
MIN_TARGETS = 3
# Maximum fraction of targets ejected at once: when many are slow, the load is the
# cause, and ejecting targets would make it worse.
MAX_EJECTED_FRACTION = 0.34
# Time between the probes of an ejected target; it doubles with each slow probe.
MIN_PROBE_BACKOFF_S = 5.0
MAX_PROBE_BACKOFF_S = 60.0
# Weight of a new sample in the moving average of a target's ratio.
SMOOTHING = 0.3


class Ejection(NamedTuple):
    """Time of an ejected target's next probe, and its backoff.

    Attributes
    ----------
    probe_s : float
        When the next probe is due.
    backoff_s : float
        Time between two probes.
    goes_on : bool
        Whether a request has ended there since.
    """

    probe_s: float
    backoff_s: float
    goes_on: bool = False


class OutlierDetector:
    """Ratio of actual to expected time for each target.

    A target ten times slower would get requests whenever it has a free slot, and
    their callers would wait ten times as long.
    """

    def __init__(self):
        self.ratios: dict[str, float] = {}
        self.samples: dict[str, int] = {}
        self.ejected: dict[str, Ejection] = {}

    def record(
        self,
        node_id: str,
        ratio: float,
        now_s: float,
        probe: bool = False,
        ended: bool = False,
    ) -> None:
        """Record a request's time relative to the expected time.

        Parameters
        ----------
        node_id : str
            Target that ran the request, or still runs it.
        ratio : float
            Actual seconds divided by expected seconds.
        now_s : float
            Time of the sample.
        probe : bool
            Whether the request was a probe of an ejected target; the times of other
            requests that it held when it was ejected carry no new information.
        ended : bool
            Whether the request ended, rather than being overdue.
        """
        if node_id in self.ejected:
            if probe:
                self.evaluate_probe(node_id, ratio, now_s)
            elif ended:
                self.probe_at_once(node_id, now_s)
            return
        current = self.ratios.get(node_id, ratio)
        self.ratios[node_id] = current + SMOOTHING * (ratio - current)
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
        """Return whether to eject a target."""
        count = len(self.ratios)
        if count < MIN_TARGETS or self.samples[node_id] < MIN_SAMPLES:
            return False
        if len(self.ejected) + 1 > max(1, int(count * MAX_EJECTED_FRACTION)):
            return False
        peers = self.median_peer_ratio(node_id)
        return peers > 0 and self.ratios[node_id] > SLOW_FACTOR * peers

    def probe_at_once(self, node_id: str, now_s: float) -> None:
        """Let an ejected target be probed now, the first time that it goes on.

        Its requests may have been overdue because it stood still for a moment, and
        then it is healthy again. If it is slow, the next probe is as late as usual.
        """
        if not self.ejected[node_id].goes_on:
            self.ejected[node_id] = Ejection(now_s, MIN_PROBE_BACKOFF_S / 2, True)

    def evaluate_probe(self, node_id: str, ratio: float, now_s: float) -> None:
        """Restore a target after a good probe, or double its backoff."""
        if ratio <= RECOVERED_FACTOR * max(1.0, self.median_peer_ratio(node_id)):
            del self.ejected[node_id]
            self.ratios[node_id] = ratio
            return
        backoff_s = min(MAX_PROBE_BACKOFF_S, self.ejected[node_id].backoff_s * 2)
        self.ejected[node_id] = Ejection(now_s + backoff_s, backoff_s, True)

    def next_probe(self, now_s: float) -> str | None:
        """Return a target that is due for a probe, and schedule its next one."""
        for node_id, ejection in self.ejected.items():
            if ejection.probe_s <= now_s:
                probe_s = now_s + ejection.backoff_s
                self.ejected[node_id] = ejection._replace(probe_s=probe_s)
                return node_id
        return None

    def retain(self, names: Iterable[str]) -> None:
        """Drop all targets but the given ones."""
        for node_id in set(self.ratios) - set(names):
            self.ratios.pop(node_id)
            self.samples.pop(node_id)
            self.ejected.pop(node_id, None)
