"""Prometheus metrics of a daemon, served at ``/metrics``."""

from aioprometheus import Counter, Gauge, Histogram, Registry

from wisteriapulley.build import build_fields

LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    float("inf"),
)


class Metrics:
    """Metrics registry of one daemon, with labels common to all its metrics.

    Parameters
    ----------
    node_id : str
        Value of the constant label ``node``.
    role : str
        Value of the constant label ``role``.
    """

    def __init__(self, node_id: str, role: str):
        self.registry = Registry()
        self.labels = {"node": node_id, "role": role}
        self.collectors: dict[str, Counter | Gauge | Histogram] = {}
        build_info = self.gauge("build_info", "Version and build that runs; always 1.")
        build_info.set(build_fields(), 1)

    def counter(self, name: str, doc: str) -> Counter:
        """Return the counter `name`; create it on first use."""
        return self.collector(Counter, name, doc)

    def gauge(self, name: str, doc: str) -> Gauge:
        """Return the gauge `name`; create it on first use."""
        return self.collector(Gauge, name, doc)

    def histogram(self, name: str, doc: str) -> Histogram:
        """Return the histogram `name`, in seconds; create it on first use."""
        return self.collector(Histogram, name, doc, buckets=LATENCY_BUCKETS_S)

    def collector(self, kind: type, name: str, doc: str, **options: object):
        """Return the collector `name` of class `kind`; create it on first use."""
        if name not in self.collectors:
            self.collectors[name] = kind(
                f"wisteriapulley_{name}",
                doc,
                const_labels=self.labels,
                registry=self.registry,
                **options,
            )
        return self.collectors[name]
