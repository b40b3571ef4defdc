"""What a sidecar knows of its engine, of the other engines and of what is wanted."""

import asyncio
from collections.abc import Iterable

from wisteriapulley.clocks import steady_s
from wisteriapulley.control.following import ControlFollower
from wisteriapulley.control.nearest import by_nearness
from wisteriapulley.direct.registry import TargetRegistry
from wisteriapulley.direct.settings import RolloutSettings
from wisteriapulley.regions import Regions
from wisteriapulley.rollout.engine import EngineReport
from wisteriapulley.rollout.turn import Turn, turn_of
from wisteriapulley.routing import Engine
from wisteriapulley.wire import Link, messages


class Knowledge:
    """State that granting places and changing weights both decide by.

    Parameters
    ----------
    settings : RolloutSettings
        Where the sidecar is.
    follower : ControlFollower
        Versions of weights in force.

    Attributes
    ----------
    report : EngineReport
        What the engine said last.
    """

    def __init__(self, settings: RolloutSettings, follower: ControlFollower):
        self.settings = settings
        self.follower = follower
        self.engines = TargetRegistry()
        self.regions = Regions(settings.failure_domain_regions)
        self.report = EngineReport({})

    @property
    def figures(self) -> Engine | None:
        """Figures of this sidecar's engine, once a control instance told them."""
        return self.follower.engines.get(self.settings.service)

    def wanted_version(self) -> int:
        """Return the version that the engine is to hold; 0 before the first."""
        figures = self.figures
        return self.follower.versions.newest(figures.model) if figures else 0

    def held_version(self) -> int:
        """Return the version that the engine holds whole; 0 for none."""
        figures = self.figures
        return self.report.versions.get(figures.model, 0) if figures else 0

    def replaced_ms(self) -> float | None:
        """Return how long ago the first version newer than the held was named."""
        figures = self.figures
        if figures is None:
            return None
        versions = self.follower.versions
        since_s = versions.replaced_at(figures.model, self.held_version())
        return None if since_s is None else (steady_s() - since_s) * 1000

    def targets_changed(self, states: Iterable[messages.TargetState]) -> None:
        """Know the other engines, for the order of change."""
        self.engines.take(states, asyncio.get_running_loop().time())

    def turn(self) -> Turn:
        """Return this engine's place in the order of change."""
        engines = [
            (target.failure_domain, target.address)
            for target in self.engines.of_service(self.settings.service)
            if not (target.state.gone or target.replaced)
        ]
        return turn_of(str(self.settings.target), engines)

    def upstream(self) -> list[Link]:
        """Return links to control instances, those of the own region first.

        Sidecars of one failure domain turn to different ones.
        """
        links = {link.peer_id: link for link in self.follower.open_links()}
        places = {host: link.peer.failure_domain for host, link in links.items()}
        order = by_nearness(places, self.follower.own, self.regions)
        return [links[host] for host in order]

    def is_near(self, link: Link) -> bool:
        """Tell whether the other end of a link is in this sidecar's region."""
        return self.regions.same(self.settings.failure_domain, link.peer.failure_domain)
