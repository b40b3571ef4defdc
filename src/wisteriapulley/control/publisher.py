"""Publishes the state of one control instance to entries and sidecars."""

import asyncio
import enum
import logging
from collections.abc import Callable, Mapping

from wisteriapulley.clocks import steady_ms, steady_s
from wisteriapulley.control.age_queries import Key
from wisteriapulley.control.assumed_ages import RESTORED_AGE_S, without_assumed
from wisteriapulley.control.control_api import unpack_table
from wisteriapulley.control.driver import Driver
from wisteriapulley.control.evacuations import EvacuationView
from wisteriapulley.control.followers import ENTRY, Followers, knows_evacuations
from wisteriapulley.control.state import ControlState, NamedVersion
from wisteriapulley.control.suspect_feed import SuspectFeed
from wisteriapulley.control.target_feed import TargetFeed
from wisteriapulley.control.targets import TargetTable
from wisteriapulley.errors import WisteriapulleyError
from wisteriapulley.logs import fields
from wisteriapulley.regions import Regions
from wisteriapulley.routing import Engine, Origin, RoutingTable
from wisteriapulley.settings import ControlSettings
from wisteriapulley.weights.desired_versions import DesiredVersions, is_correction
from wisteriapulley.weights.version_ages import earliest_accepted_s
from wisteriapulley.wire import Frame, Link, broadcast, messages
from wisteriapulley.wire.handshake import knows_model_query

log = logging.getLogger(__name__)

# How long the reply to a follower waits for a quorum to confirm the table.
CONFIRM_TIMEOUT_S = 0.8


class Learned(enum.Enum):
    """What a message or the log told about a version of weights."""

    NOTHING = enum.auto()
    CORRECTION = enum.auto()
    # The age was only assumed before.
    WITNESSED = enum.auto()
    NEW = enum.auto()
    # The age is only assumed, and a peer knows it; nothing is recorded before it was
    # asked.
    TO_ASK = enum.auto()


# What changes the versions or ages that are told to followers.
RECORDED = frozenset({Learned.CORRECTION, Learned.WITNESSED, Learned.NEW})
# What the peers are asked for: it may have been read late.
ASKED_FOR = frozenset({Learned.WITNESSED, Learned.NEW, Learned.TO_ASK})


class Publisher:
    """Publishes tables, weights, evacuations, targets and instances to followers.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the instance: its node id, failure domain and lease times.
    state : ControlState
        The replicated state.
    on_new_weights : callable
        Called with model and version when a version is first observed here that is
        newer than all others.
    send_to_peers : callable
        Sends a message to every other control instance.

    Attributes
    ----------
    driver : Driver
        Driver of the replica, for quorum reads; set by the service at its start.
    table : RoutingTable
        The routing table in force here.
    evacuations : EvacuationView
        The newest set of evacuated failure domains, from the log or a peer.
    ask_peers : callable
        Called with the models and versions that were learned, to ask the peers for
        their ages; set by the service.
    """

    def __init__(
        self,
        settings: ControlSettings,
        state: ControlState,
        on_new_weights: Callable[[str, int], object],
        send_to_peers: Callable[[tuple], None],
    ):
        self.settings = settings
        self.state = state
        self.on_new_weights = on_new_weights
        self.ask_peers: Callable[[frozenset[Key]], None] = lambda keys: None
        self.driver: Driver | None = None
        self.followers = Followers(
            settings.failure_domain, Regions(settings.failure_domain_regions)
        )
        self.targets = TargetTable(settings.target_lease_ms)
        self.send_to_peers = send_to_peers
        self.target_feed = TargetFeed(self.targets, self.followers, send_to_peers)
        self.suspect_feed = SuspectFeed(self.followers, send_to_peers)
        # As followers get them, and without the bounds that replies of peers set: if
        # instances told each other these bounds, each would make them earlier.
        self.versions = DesiredVersions()
        self.heard_versions = DesiredVersions()
        self.published_routing = 0
        self.published_models: list[messages.ModelState] = []
        self.published_hosts = messages.ControlNews()
        # Failure domain of each control instance that was ever connected.
        self.failure_domains = {settings.node_id: settings.failure_domain}
        self.table = RoutingTable(0)
        self.evacuations = EvacuationView()

    def publish_restored(self) -> None:
        """Publish the state restored from disk.

        The time at which its versions became desired is not stored, so they are
        assumed to be desired since long ago, until a peer tells when it was.
        """
        for model, version in self.state.weights.items():
            self.record_version(model, version, RESTORED_AGE_S, "disk", assumed=True)
        self.publish_changes()

    def origin(self) -> Origin | None:
        """Return the origin of weights, if the table in force names one."""
        return self.table.origin()

    def known_hosts(self) -> messages.ControlNews:
        """Return all known control instances and their failure domains."""
        hosts = tuple(sorted(self.driver.replica.members.node_ids()))
        domains = tuple(self.failure_domains.get(host, "") for host in hosts)
        return messages.ControlNews(hosts, domains)

    def publish_hosts(self) -> bool:
        """Publish the control instances if they changed; return whether they did."""
        hosts = self.known_hosts()
        if hosts == self.published_hosts:
            return False
        self.published_hosts = hosts
        self.followers.push_hosts(hosts)
        return True

    def greet_peer(self, link: Link) -> None:
        """Record another control instance, and send it the weights in force.

        This is the first message over a link, in both directions: the log may bring
        versions that were named while the peer was away, and they would count from
        then.
        """
        self.failure_domains[link.peer.node_id] = link.peer.failure_domain
        news = self.models_for_peers()
        if not knows_model_query(link.peer):
            # The flag came with the query: an earlier release takes an assumed age for
            # a true one, and would end the version before it everywhere.
            news = without_assumed(news)
        broadcast((link,), news)

    def publish_changes(self) -> None:
        """Publish new tables, weights and evacuations to followers and peers."""
        if self.record_evacuations(self.own_evacuations()):
            self.send_to_peers(self.evacuations.news)
        if self.state.routing.version > self.published_routing:
            self.published_routing = self.state.routing.version
            self.table = unpack_table(self.state.routing.table)
            self.followers.push_routing(self.routing_message(fresh=False))
        if self.record_weights():
            self.followers.push_models(self.models_message())
            self.send_to_peers(self.models_for_peers())

    def record_weights(self) -> bool:
        """Record when versions came into force; return whether the models changed."""
        learned = {
            named[:2]: self.record_named(named)
            for named in without_older_unknown(self.state.take_named())
        }
        for model, version in self.state.weights.items():
            if self.versions.accepted_at(model, version) is None:
                unknown = NamedVersion(model, version, None)
                learned[model, version] = self.record_named(unknown, "snapshot")
        self.fetch_newest(learned)
        self.ask_for(learned)
        states = [
            state._replace(named=tuple(desired.version for desired in state.named))
            for state in self.models_message().models
        ]
        changed, self.published_models = states != self.published_models, states
        return changed or not RECORDED.isdisjoint(learned.values())

    def record_named(self, named: NamedVersion, source: str = "log") -> Learned:
        """Record a version that the replicated state brought."""
        model, version, accepted_s = named
        if accepted_s is None:
            return self.record_version(
                model, version, RESTORED_AGE_S, source, assumed=True
            )
        return self.record_version(model, version, steady_s() - accepted_s, source)

    def fetch_newest(self, learned: Mapping[Key, Learned]) -> None:
        """Start to fetch versions that are new and newer than all others."""
        for (model, version), what in learned.items():
            if what is Learned.NEW and version == self.versions.newest(model):
                self.on_new_weights(model, version)

    def record_version(
        self,
        model: str,
        version: int,
        age_s: float,
        source: str,
        assumed: bool = False,
        replied: bool = False,
    ) -> Learned:
        """Record a version and when it was accepted; return what was learned.

        `replied` tells whether the age is bounded by the way of a query and its reply.
        """
        now_s = steady_s()
        if not replied:
            self.heard_versions.record(model, version, now_s - age_s, assumed)
        known_s = self.versions.accepted_at(model, version)
        was_assumed = self.versions.is_assumed(model, version)
        is_new = self.versions.record(model, version, now_s - age_s, assumed)
        details = {
            "model": model,
            "version": version,
            "source": source,
            "assumed": assumed,
        }
        if is_new:
            log.info("weights named", extra=fields(age_ms=int(age_s * 1000), **details))
            return Learned.NEW
        if not is_correction(known_s, self.versions.accepted_at(model, version)):
            return Learned.NOTHING
        log.info(
            "age of weights corrected",
            extra=fields(
                age_ms=int(age_s * 1000),
                believed_ms=int((now_s - known_s) * 1000),
                **details,
            ),
        )
        is_assumed = self.versions.is_assumed(model, version)
        return (
            Learned.WITNESSED if was_assumed and not is_assumed else Learned.CORRECTION
        )

    def observe_models(
        self, message: messages.ModelNews, peer: str = "", may_ask: bool = False
    ) -> None:
        """Record weights in force at another instance, and publish them to followers.

        When a version becomes desired while downloads of the previous one fill the
        links between regions, the log reaches an instance 0.2 to 0.4 s after the
        operator's acknowledgement. If followers waited for the log, they would let
        requests start on superseded weights for that much longer than allowed. Only
        committed versions are in force anywhere, so the first message about one is
        enough. A better time of a known version goes to followers too: those that
        follow no other instance would hold the version before it for too long.

        `may_ask` tells whether the peer can be asked for the ages.
        """
        learned = {
            (state.model, desired.version): self.observe_version(
                state.model, desired, peer, may_ask
            )
            for state in message.models
            for desired in state.named
        }
        self.fetch_newest(learned)
        if not RECORDED.isdisjoint(learned.values()):
            self.followers.push_models(self.models_message())
        self.ask_for(learned)

    def observe_version(
        self, model: str, desired: messages.VersionAge, peer: str, may_ask: bool
    ) -> Learned:
        """Record a version that a peer told unasked; return what was learned.

        The message may have been read late, and its age be too low. So an assumed age,
        which is too high, is kept until the reply to a query bounds the true one.
        """
        version = desired.version
        waits = may_ask and not desired.assumed
        if waits and self.versions.is_assumed(model, version):
            return Learned.TO_ASK
        age_s = desired.age_ms / 1000
        return self.record_version(model, version, age_s, peer, desired.assumed)

    def ask_for(self, learned: Mapping[Key, Learned]) -> None:
        """Ask the peers for the ages of versions that are new, or assumed until now."""
        keys = frozenset(key for key, what in learned.items() if what in ASKED_FOR)
        if keys:
            self.ask_peers(keys)

    def observe_reply(
        self,
        message: messages.ModelNews,
        asked_s: float,
        keys: frozenset[Key],
        peer: str,
    ) -> None:
        """Record what a peer replied about some versions; publish corrections."""
        learned = [
            self.record_reply(state.model, desired, asked_s, peer)
            for state in message.models
            for desired in state.named
            if (state.model, desired.version) in keys
        ]
        if not RECORDED.isdisjoint(learned):
            self.followers.push_models(self.models_message())

    def record_reply(
        self, model: str, desired: messages.VersionAge, asked_s: float, peer: str
    ) -> Learned:
        """Record the age of one version in a reply; return what was learned.

        Other instances are told the age as it was read, if it is higher than what was
        heard before: each bound would make it higher still by the way of a reply.
        An age that was only assumed until now is replaced by the bound.
        """
        version, now_s = desired.version, steady_s()
        bound_s = earliest_accepted_s(asked_s, desired.age_ms)
        heard_s = now_s - desired.age_ms / 1000
        if self.heard_versions.is_assumed(model, version):
            heard_s = bound_s
        self.heard_versions.record(model, version, heard_s, desired.assumed)
        return self.record_version(
            model, version, now_s - bound_s, peer, desired.assumed, replied=True
        )

    # -- evacuations -----------------------------------------------------

    def known_failure_domains(self) -> set[str]:
        """Return the failure domains of settings, instances, targets and orders."""
        return {
            *self.settings.failure_domain_regions,
            *self.failure_domains.values(),
            *(target.failure_domain for target in self.targets.states(steady_ms())),
            *self.state.evacuations.domains,
        }

    def own_evacuations(self) -> messages.EvacuationNews:
        """Return the evacuated failure domains by this instance's log."""
        evacuations = self.state.evacuations
        return messages.EvacuationNews(evacuations.revision, evacuations.evacuated)

    def record_evacuations(self, message: messages.EvacuationNews) -> bool:
        """Record and publish a set of evacuated domains; return whether it is newer.

        Only committed orders are in force anywhere, so the first message about one is
        enough, from the log or from a peer.
        """
        if not self.evacuations.update(message):
            return False
        self.followers.push_evacuations(message)
        return True

    def send_evacuations(self, link: Link) -> None:
        """Send a newly connected process the evacuated domains, if there were any."""
        self.record_evacuations(self.own_evacuations())
        if self.evacuations.news.revision and knows_evacuations(link):
            link.post(self.evacuations.news)

    def add_watcher(self, link: Link) -> None:
        """Send evacuations to a node that watches the catalogue, now and later."""
        self.send_evacuations(link)
        self.followers.watchers.add(link)

    def routing_message(self, fresh: bool, known: int = 0) -> messages.RoutingNews:
        """Return the table in force; without content if `known` is current."""
        routing = self.state.routing
        content = routing.table if routing.version > known else b""
        return messages.RoutingNews(routing.version, fresh, content)

    def models_message(self) -> messages.ModelNews:
        """Return the weights in force, for followers."""
        return self.models_of(self.versions)

    def models_for_peers(self) -> messages.ModelNews:
        """Return the weights in force, for other control instances."""
        return self.models_of(self.heard_versions)

    def models_of(self, versions: DesiredVersions) -> messages.ModelNews:
        """Return the model services, with versions and their ages."""
        return messages.ModelNews(
            tuple(
                self.model_state(service, engine, versions)
                for service, engine in self.table.engines().items()
            )
        )

    def answer_model_query(self, link: Link, frame: Frame) -> None:
        """Reply with the versions and their ages as they are now."""
        is_peer = link.peer.role == "control"
        news = self.models_for_peers() if is_peer else self.models_message()
        link.post(news, reply_to=frame.id)

    def model_state(
        self, service: str, engine: Engine, versions: DesiredVersions
    ) -> messages.ModelState:
        """Return the engine parameters and versions of one model service."""
        now_s = steady_s()
        return messages.ModelState(
            service,
            engine.model,
            tuple(
                messages.VersionAge(
                    version, int((now_s - known.at_s) * 1000), known.assumed
                )
                for version, known in versions.acceptances(engine.model)
            ),
            engine.slots,
            engine.stride,
            engine.step_ms,
            engine.step_ms_per_request,
            engine.prefill_tokens_per_ms,
            *self.cold_limits(service),
        )

    def cold_limits(self, service: str) -> tuple[float, float]:
        """Return `cold_start_s` and `cold_per_s` of a service."""
        found = next(s for s in self.table.services if s.name == service)
        return found.cold_start_s, found.cold_per_s

    # -- followers and other instances -----------------------------------

    async def answer_follow(
        self, message: messages.Follow, link: Link, frame: Frame
    ) -> None:
        """Add a follower, send it the current state, and reply with the table."""
        # Before the targets, so that none of an evacuated domain is used meanwhile.
        self.send_evacuations(link)
        self.followers.add(link)
        link.post(self.target_feed.full_update())
        link.post(self.known_hosts())
        link.post(self.models_message())
        if link.peer.role == ENTRY:
            self.suspect_feed.send_all(link)
        if self.state.routing.version > message.routing_version:
            # Not confirmed yet, but it was in force: a follower without a table can
            # serve by it half a second before a quorum answers.
            link.post(self.routing_message(fresh=False, known=message.routing_version))
        known = max(message.routing_version, self.state.routing.version)
        reply = await self.confirmed_routing(known)
        # The confirmed reply makes a follower ready: it must not know less than what
        # was committed before.
        self.record_evacuations(self.own_evacuations())
        link.post(reply, reply_to=frame.id)

    async def confirmed_routing(self, known: int) -> messages.RoutingNews:
        """Return the table in force, confirmed by a quorum if one answers."""
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                await self.driver.read_barrier()
            fresh = True
        except (WisteriapulleyError, TimeoutError):
            fresh = False
        return self.routing_message(fresh, known)


def without_older_unknown(named: list[NamedVersion]) -> list[NamedVersion]:
    """Drop versions of unknown age before a newer one of unknown age.

    The newer one ends them anyway. After a start, the log on the disk may hold all
    versions of months.
    """
    newest = {n.model: n.version for n in named if n.accepted_s is None}
    return [n for n in named if n.accepted_s is not None or n[:2] in newest.items()]
