"""Parts of prompts that targets have begun to answer a short time ago. Pure."""

# How long a part counts as harmless after a target has begun to answer a prompt with
# it. A part that begins to crash targets, say with other weights, is blamed after this.
RETENTION_S = 2.0


class BegunParts:
    """Parts that lately did not crash a target, by service.

    Attributes
    ----------
    begun_s : dict of (str, str) to float
        When a target last began to answer, by service and id of the part.
    """

    def __init__(self):
        self.begun_s: dict[tuple[str, str], float] = {}

    def record(self, service: str, parts: tuple[str, ...], now_s: float) -> None:
        """Record that a target has begun to answer a prompt."""
        for part in parts:
            self.begun_s[service, part] = now_s

    def contains(self, service: str, part: str, now_s: float) -> bool:
        """Return whether a target began to answer a prompt with a part lately."""
        begun_s = self.begun_s.get((service, part))
        return begun_s is not None and now_s - begun_s <= RETENTION_S

    def remove_expired(self, now_s: float) -> None:
        """Forget the parts that no target began to answer lately."""
        self.begun_s = {
            key: begun_s
            for key, begun_s in self.begun_s.items()
            if now_s - begun_s <= RETENTION_S
        }
