"""State of a sidecar: its engine, the other engines and the desired version."""

import asyncio
from collections.abc import Iterable

from wisteriapulley.clocks import steady_s
from wisteriapulley.control.following import ControlFollower
from wisteriapulley.control.nearest import by_nearness
from wisteriapulley.direct.registry import Target, TargetRegistry
from wisteriapulley.direct.settings import RolloutSettings
from wisteriapulley.regions import Regions
from wisteriapulley.rollout.engine import EngineReport
from wisteriapulley.rollout.switch_order import SwitchRank, switch_rank
from wisteriapulley.routing import Engine
from wisteriapulley.wire import Link, messages


class RolloutState:
    """State on which slot admission and weight updates decide.

    Parameters
    ----------
    settings : RolloutSettings
        Location of the sidecar.
    follower : ControlFollower
        Source of the desired versions.

    Attributes
    ----------
    report : EngineReport
        Last report of the engine.
    engine_is_silent : bool
        Whether the engine did not answer since then, although its process is there.
    """

    def __init__(self, settings: RolloutSettings, follower: ControlFollower):
        self.settings = settings
        self.follower = follower
        self.targets = TargetRegistry()
        self.regions = Regions(settings.failure_domain_regions)
        self.report = EngineReport({})
        self.engine_is_silent = False

    @property
    def engine(self) -> Engine | None:
        """Parameters of this sidecar's engine; None until they are received."""
        return self.follower.engines.get(self.settings.service)

    @property
    def is_evacuated(self) -> bool:
        """Whether the failure domain of this sidecar is evacuated."""
        return self.settings.failure_domain in self.follower.evacuated

    def desired_version(self) -> int:
        """Return the version that the engine should hold; 0 before the first."""
        engine = self.engine
        return self.follower.versions.newest(engine.model) if engine else 0

    def held_version(self) -> int:
        """Return the version that the engine holds completely; 0 for none."""
        engine = self.engine
        return self.report.versions.get(engine.model, 0) if engine else 0

    def superseded_for_ms(self, version: int | None = None) -> float | None:
        """Return the time since the first newer version was accepted.

        Parameters
        ----------
        version : int, optional
            The superseded version; by default the held one.
        """
        engine = self.engine
        if engine is None:
            return None
        held = self.held_version() if version is None else version
        since_s = self.follower.versions.superseded_at(engine.model, held)
        return None if since_s is None else (steady_s() - since_s) * 1000

    def update_targets(self, states: Iterable[messages.TargetState]) -> None:
        """Record the other engines, which the switch order depends on."""
        self.targets.update(states, asyncio.get_running_loop().time())

    def own_target(self) -> Target | None:
        """Return this sidecar's engine as announced; None if it is unknown."""
        own = self.targets.by_address.get(str(self.settings.target), "")
        return self.targets.targets.get(own)

    def switch_rank(self) -> SwitchRank:
        """Return this engine's position in the switch order.

        Engines of evacuated failure domains serve nobody and take no position.
        """
        engines = [
            (target.failure_domain, target.address)
            for target in self.targets.of_service(self.settings.service)
            if not (target.state.gone or target.replaced)
            and target.failure_domain not in self.follower.evacuated
        ]
        return switch_rank(str(self.settings.target), engines)

    def upstream(self) -> list[Link]:
        """Return links to control instances, those in this region first.

        The sidecars of one failure domain are spread over its control instances.
        """
        links = {link.peer_id: link for link in self.follower.open_links()}
        domains = {host: link.peer.failure_domain for host, link in links.items()}
        order = by_nearness(domains, self.follower.own, self.regions)
        return [links[host] for host in order]

    def is_near(self, link: Link) -> bool:
        """Return whether the other end of a link is in this sidecar's region."""
        return self.regions.same(self.settings.failure_domain, link.peer.failure_domain)
