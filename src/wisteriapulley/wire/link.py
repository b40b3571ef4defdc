"""Links: bidirectional streams of frames over one TCP connection, with heartbeats."""

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Awaitable, Callable, Iterable

from wisteriapulley.errors import (
    ResultCode,
    WireError,
    WisteriapulleyError,
)
from wisteriapulley.logs import fields
from wisteriapulley.settings import Address
from wisteriapulley.wire import codec, handshake
from wisteriapulley.wire.call import Call, raise_failure
from wisteriapulley.wire.codec import Frame
from wisteriapulley.wire.framing import FrameBuffer, KeepAlive
from wisteriapulley.wire.handshake import Identity
from wisteriapulley.wire.messages import Failure, Heartbeat, Hello, Load, Proof

log = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT_S = 5.0
# Time limit for connecting. A host without power does not respond, and a short time-out
# lets the next attempt reach it soon after it is back. Far above a round trip between
# regions.
CONNECT_TIMEOUT_S = 1.0
# Limit of a handshake frame, which comes from a peer that is not authenticated yet.
MAX_HANDSHAKE_BYTES = 4096
# A link with more unsent bytes is closed: a peer that sends heartbeats but does not
# read would let the write buffer grow without limit.
MAX_WRITE_BUFFER_BYTES = 128 << 20
# State in the last heartbeat of an end that has answered all that it accepted. What it
# has not answered by then it has not accepted, unless only the link was lost.
ENDED_STATE = "ended"
# How long an end waits for its peer to close. A peer that runs closes within a round
# trip; one that may expect an answer is waited for until that answer is overdue.
END_TIMEOUT_S = 1.0
Handler = Callable[["Link", Frame], Awaitable[None]]


class Link(asyncio.Protocol):
    """One authenticated connection between two processes.

    Parameters
    ----------
    handler : callable
        Awaited with each frame that is not a reply.
    heartbeat : callable
        Returns the heartbeat to send.

    Attributes
    ----------
    skips_redundant_heartbeats : bool
        Whether an unchanged heartbeat is postponed if other frames were sent within
        the interval. Only for peers that do not act on the arrival of a heartbeat.
    silent : asyncio.Event
        Set while the peer of an open link is silent. A peer that stands still goes on
        later, and what it has read or sent is not lost.
    ending : bool
        Whether this end has sent its last message.
    retired : bool
        Whether another link has replaced this one, which only ends its answers.
    held_until_s : float
        Until when a silent link stays open for the answers on it, on the loop's clock.
    """

    def __init__(self, handler: Handler, heartbeat: Callable[[], Heartbeat]):
        self.handler = handler
        self.heartbeat = heartbeat
        self.transport: asyncio.Transport | None = None
        self.buffer = FrameBuffer(MAX_HANDSHAKE_BYTES)
        self.data_arrived = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()
        self.started = False
        self.peer = Hello()
        self.peer_heartbeat = Heartbeat()
        self.sent_heartbeat = Heartbeat()
        self.ids = itertools.count(1)
        self.calls: dict[int, Call] = {}
        self.tasks: set[asyncio.Task] = set()
        self.heartbeat_timer: asyncio.Handle | None = None
        self.closed = asyncio.Event()
        self.silent = asyncio.Event()
        self.retired = False
        self.ending = False
        self.held_until_s = 0.0
        self.reason: WireError | None = None
        self.opened_s = 0.0
        self.last_received = 0.0
        self.own_pause_s = 0.0
        self.skips_redundant_heartbeats = False
        self.last_sent = 0.0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.late_replies = 0
        self.crossed_replies = 0
        self.on_connect: Callable[[Link], None] | None = None
        self.on_heartbeat: Callable[[Link], None] | None = None
        self.on_close: Callable[[Link], None] | None = None

    # -- asyncio callbacks -----------------------------------------------

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport
        if self.on_connect is not None:
            self.on_connect(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Close the link."""
        self.close(
            WireError(ResultCode.LINK_CLOSED, f"link to {self.peer_id} lost: {error}")
        )

    def pause_writing(self) -> None:
        """Make `drain` wait."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let `drain` return."""
        self.writable.set()

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; once started, handle the frames in them."""
        self.buffer.feed(data)
        self.bytes_received += len(data)
        if self.started:
            self.last_received = asyncio.get_running_loop().time()
            self.own_pause_s = 0.0
            self.receive_all()
        else:
            # Before the peer is authenticated, no more than one read is buffered.
            self.transport.pause_reading()
            self.data_arrived.set()

    def receive_all(self) -> None:
        """Handle every complete frame that has arrived."""
        try:
            while not self.closed.is_set():
                frame = self.buffer.pop_frame()
                if frame is None:
                    return
                self.receive(frame)
        except WireError as error:
            self.close(error)

    async def read_frame(self) -> Frame:
        """Wait for the next frame of the handshake."""
        while True:
            frame = self.buffer.pop_frame()
            if frame is not None:
                return frame
            if self.closed.is_set():
                raise self.reason
            self.data_arrived.clear()
            self.transport.resume_reading()
            await self.data_arrived.wait()

    # -- opening ---------------------------------------------------------

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return not self.closed.is_set() and not self.ending

    @property
    def peer_has_ended(self) -> bool:
        """Whether the peer has answered all that it accepted, and accepts no more."""
        return self.peer_heartbeat.state == ENDED_STATE

    @property
    def peer_id(self) -> str:
        """Node id of the other end."""
        return self.peer.node_id

    async def authenticate(self, identity: Identity, opener: bool) -> None:
        """Exchange hellos and proofs.

        Raises
        ------
        WireError
            The peer does not hold the fleet key or did not respond in time.
        """
        own_hello = identity.hello()
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                self.post(own_hello)
                first = await self.read_frame()
                self.peer = handshake.check_hello(own_hello, first.message)
                self.post(handshake.sign(identity.key, own_hello, self.peer, opener))
                second = await self.read_frame()
        except TimeoutError as error:
            raise WireError(
                ResultCode.AUTHENTICATION_FAILED,
                "peer did not complete the handshake in time",
            ) from error
        proof = second.message if isinstance(second.message, Proof) else Proof()
        handshake.verify(identity.key, proof, self.peer, own_hello, not opener)

    def start(self, heartbeat_ms: int, silence_ms: int) -> None:
        """Start receiving frames and sending heartbeats; call after `authenticate`."""
        loop = asyncio.get_running_loop()
        self.opened_s = self.last_received = loop.time()
        self.buffer.limit = 0
        self.started = True
        self.heartbeat_timer = loop.call_soon(
            self.run_heartbeat_timer, heartbeat_ms / 1000, silence_ms / 1000
        )
        self.receive_all()
        if not self.closed.is_set():
            self.transport.resume_reading()

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a coroutine as a task that is cancelled when the link closes."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.task_done)
        return task

    def task_done(self, task: asyncio.Task) -> None:
        """Remove a finished task and log its exception."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error(
                "link task failed: %r", task.exception(), exc_info=task.exception()
            )

    def post(self, message: tuple, reply_to: int = 0, body: bytes = b"") -> int:
        """Send a message without waiting; return its frame id.

        Raises
        ------
        WireError
            The link is closed.
        """
        self.check_writable()
        frame_id = next(self.ids)
        self.write(codec.encode(Frame(frame_id, reply_to, message, body)))
        if body:
            self.write(body)
        return frame_id

    def check_writable(self) -> None:
        """Check that the link is open; close it if its peer does not read.

        Raises
        ------
        WireError
            The link is closed.
        """
        if not self.is_open:
            raise self.reason or WireError(
                ResultCode.LINK_CLOSED, f"the link to {self.peer_id} is closed"
            )
        if self.write_buffer_bytes() > MAX_WRITE_BUFFER_BYTES:
            self.close(
                WireError(ResultCode.LINK_SILENT, f"{self.peer_id} does not read")
            )
            raise self.reason

    def write(self, data: bytes) -> None:
        """Send encoded bytes."""
        self.transport.write(data)
        self.last_sent = asyncio.get_running_loop().time()
        self.bytes_sent += len(data)

    def write_buffer_bytes(self) -> int:
        """Return the number of bytes that wait to be sent."""
        return self.transport.get_write_buffer_size()

    async def drain(self) -> None:
        """Wait until the connection accepts more data or is closed."""
        await self.writable.wait()

    def call(self, message: tuple, body: bytes = b"") -> Call:
        """Send a request; return the call that receives its replies."""
        frame_id = self.post(message, body=body)
        call = Call(self, frame_id)
        self.calls[frame_id] = call
        return call

    async def request(
        self, message: tuple, timeout_s: float, body: bytes = b""
    ) -> Frame:
        """Send a request and return its single reply.

        Raises
        ------
        WisteriapulleyError
            The peer replied with a failure.
        WireError
            The link closed, or no reply came in time.
        """
        call = self.call(message, body)
        try:
            frame = await call.reply(timeout_s)
        finally:
            call.close()
        raise_failure(frame)
        return frame

    def receive(self, frame: Frame) -> None:
        """Handle one frame: a heartbeat, a reply or a request."""
        if isinstance(frame.message, Heartbeat | Load | KeepAlive):
            self.peer_heartbeat = merge_heartbeat(self.peer_heartbeat, frame.message)
            if self.on_heartbeat is not None:
                self.on_heartbeat(self)
        elif frame.reply_to:
            call = self.calls.get(frame.reply_to)
            if call is None:
                self.late_replies += 1
            else:
                call.replies.put_nowait(frame)
        else:
            self.spawn(self.serve(frame))

    async def serve(self, frame: Frame) -> None:
        """Run the handler on one request; reply to errors with a failure."""
        try:
            await self.handler(self, frame)
        except WisteriapulleyError as error:
            log.debug("request of %s failed: %s", self.peer_id, error)
            self.fail(frame, error)
        except Exception as error:
            log.exception("handler of %s failed", type(frame.message).__name__)
            self.fail(frame, WireError(ResultCode.UNEXPECTED_MESSAGE, repr(error)))

    def fail(self, frame: Frame, error: WisteriapulleyError) -> None:
        """Reply to `frame` with a failure if the link is still open.

        A one-way message has no id and takes no reply.
        """
        if frame.id == codec.NO_ID:
            log.warning("one-way message from %s not handled: %s", self.peer_id, error)
        elif self.is_open:
            self.post(
                Failure(int(error.code), error.message, error.retry_after_ms),
                reply_to=frame.id,
            )

    def run_heartbeat_timer(
        self, heartbeat_s: float, silence_s: float, due_s: float | None = None
    ) -> None:
        """Send a heartbeat if one is due, and set the timer again.

        This is a timer instead of a task because a process has dozens of links, and
        heartbeats are most of their work.

        Parameters
        ----------
        heartbeat_s, silence_s : float
            Seconds between heartbeats, and of silence before it is noticed.
        due_s : float, optional
            When the timer was due, on the loop's clock.
        """
        loop = asyncio.get_running_loop()
        if due_s is not None:
            self.own_pause_s += max(0.0, loop.time() - due_s)
        self.check_silence(silence_s)
        if self.closed.is_set():
            return
        delay_s = self.heartbeat_delay_s(heartbeat_s)
        if delay_s <= 0:
            self.send_heartbeat()
            delay_s = heartbeat_s
        due_s = loop.time() + delay_s
        self.heartbeat_timer = loop.call_at(
            due_s, self.run_heartbeat_timer, heartbeat_s, silence_s, due_s
        )

    def check_silence(self, silence_s: float) -> None:
        """Close a link that is silent or retired, once no answer may come over it.

        Until then a silent peer is only reported: to `silent`, and to each call as an
        error after which its replies go on.
        """
        silent_s = self.peer_silence_s()
        is_silent = silent_s > silence_s
        if not is_silent:
            self.silent.clear()
        if not is_silent and not self.retired:
            return
        text = f"{self.peer_id} was silent for {silent_s:.1f} s"
        if not is_silent:
            text = f"{self.peer_id} was silent for a while, and another link is in use"
        error = WireError(ResultCode.LINK_SILENT, text)
        if asyncio.get_running_loop().time() >= self.held_until_s:
            self.close(error)
        elif is_silent and not self.silent.is_set():
            self.silent.set()
            log.info("silent link kept open: %s", error, extra=fields(code=error.code))
            for call in self.calls.values():
                call.replies.put_nowait(error)

    def hold(self, duration_s: float) -> None:
        """Keep the link open for an answer although its peer may fall silent."""
        until_s = asyncio.get_running_loop().time() + duration_s
        self.held_until_s = max(self.held_until_s, until_s)

    def peer_silence_s(self) -> float:
        """Return for how long nothing arrived while this process ran, in seconds.

        After a pause of this process the timer runs before the frames are read that
        arrived meanwhile. A pause shows as a timer that runs late.
        """
        since_s = self.last_received + self.own_pause_s
        return asyncio.get_running_loop().time() - since_s

    def heartbeat_delay_s(self, heartbeat_s: float) -> float:
        """Return how long the next heartbeat can be postponed, in seconds.

        An entry and a sidecar exchange several frames a second, and any frame shows
        that the sender is alive. Additional heartbeats only cost processor time.
        """
        if (
            not self.skips_redundant_heartbeats
            or self.heartbeat() != self.sent_heartbeat
        ):
            return 0.0
        return self.last_sent + heartbeat_s - asyncio.get_running_loop().time()

    def send_heartbeat(self) -> None:
        """Send a heartbeat now, as a load or a bare header where that suffices."""
        if not self.is_open:
            return
        sent, current = self.sent_heartbeat, self.heartbeat()
        self.sent_heartbeat = current
        load = Load(*(getattr(current, name) for name in Load._fields))
        if current == sent:
            self.write(codec.KEEP_ALIVE)
        elif merge_heartbeat(sent, load) == current:
            self.check_writable()
            self.write(codec.encode_load(load))
        else:
            self.post(current)

    async def end(self) -> None:
        """Send all that is written, and wait until the peer has read it and closes.

        Closing at once would discard what a slow peer has not read yet, and the peer
        could not tell whether this process has accepted its last requests. Call it
        only when all that was accepted is answered.
        """
        with contextlib.suppress(WireError):
            self.post(self.heartbeat()._replace(state=ENDED_STATE))
        if not self.is_open:
            return
        self.ending = True
        self.transport.write_eof()
        ends_s = asyncio.get_running_loop().time() + END_TIMEOUT_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(max(self.held_until_s, ends_s)):
                await self.closed.wait()

    def close(self, reason: WireError | None = None) -> None:
        """Close the link; every in-flight call receives `reason`."""
        if self.closed.is_set():
            return
        self.reason = reason or WireError(
            ResultCode.LINK_CLOSED, f"this process closed the link to {self.peer_id}"
        )
        self.closed.set()
        self.data_arrived.set()
        self.writable.set()
        log.debug("link to %s closed: %s", self.peer_id, self.reason, extra=fields())
        for call in self.calls.values():
            call.replies.put_nowait(self.reason)
        self.calls.clear()
        if self.heartbeat_timer is not None:
            self.heartbeat_timer.cancel()
        self.transport.abort()
        for task in self.tasks - {asyncio.current_task()}:
            task.cancel()
        if self.on_close is not None:
            self.on_close(self)


def broadcast(links: Iterable[Link], message: tuple) -> None:
    """Send a one-way message over many links, skipping closed ones.

    Updates of a target go to every entry and sidecar of a region, so the frame is
    encoded once for all links, not once for each of them.
    """
    data = b""
    for link in links:
        if link.closed.is_set():
            continue
        data = data or codec.encode(Frame(codec.NO_ID, 0, message))
        try:
            link.check_writable()
        except WireError as error:
            log.info("one-way message not sent: %s", error)
            continue
        link.write(data)


def merge_heartbeat(
    heartbeat: Heartbeat, update: Heartbeat | Load | KeepAlive
) -> Heartbeat:
    """Return `heartbeat` with a later heartbeat, load or keep-alive applied."""
    if isinstance(update, Heartbeat):
        return update
    if isinstance(update, Load):
        return heartbeat._replace(**update._asdict())
    return heartbeat


async def connect(
    address: Address,
    identity: Identity,
    handler: Handler,
    heartbeat: Callable[[], Heartbeat],
    heartbeat_ms: int,
    silence_ms: int,
) -> Link:
    """Open a link and authenticate it.

    Raises
    ------
    WireError
        Nothing listens at the address, or the peer does not hold the fleet key.
    """
    link = Link(handler, heartbeat)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().create_connection(
                lambda: link, address.host, address.port
            )
    except (OSError, TimeoutError) as error:
        raise WireError(ResultCode.LINK_CLOSED, f"{address}: {error}") from error
    try:
        await link.authenticate(identity, opener=True)
    except BaseException as error:
        link.close(error if isinstance(error, WireError) else None)
        raise
    link.start(heartbeat_ms, silence_ms)
    return link
