"""Encodes frames: a fixed header, a Cap'n Proto message, then raw bytes.

Bodies of chunks and answers follow the message instead of being a Data field, so
that they are never copied into a Cap'n Proto segment.
"""

import functools
import re
import struct
import typing
from importlib.resources import files
from typing import NamedTuple

import capnp

from wisteriapulley.errors import ResultCode, WireError
from wisteriapulley.wire import messages

capnp.remove_import_hook()
SCHEMA = capnp.load(str(files("wisteriapulley.wire").joinpath("messages.capnp")))

HEADER = struct.Struct("<2sxxII")
MAGIC = b"WP"
MAX_MESSAGE_BYTES = 16 << 20
MAX_BODY_BYTES = 64 << 20
TRAVERSAL_LIMIT_WORDS = MAX_MESSAGE_BYTES // 4


# A header alone repeats the sender's last heartbeat. Most heartbeats contain nothing
# new, and a full one takes 180 bytes.
KEEP_ALIVE = HEADER.pack(MAGIC, 0, 0)
# Frame id of one-way messages, which take no reply.
NO_ID = 0
# Number of distinct loads that are cached encoded, and as many decoded. An engine has
# a few dozen running and waiting requests, so few distinct loads occur.
LOAD_CACHE_SIZE = 512


class Frame(NamedTuple):
    """One message with its correlation ids and raw body."""

    id: int
    reply_to: int
    message: tuple
    body: bytes = b""


class FieldCodec(NamedTuple):
    """How one field of a message is written and read.

    Attributes
    ----------
    name : str
        Name in the message class.
    wire_name : str
        Name in the schema.
    schema : capnp schema field
        Field in the schema, kept because access by name looks it up each time.
    element : type or None
        Message class of the value, or of a list's items.
    is_list : bool
        Whether the value is a list.
    """

    name: str
    wire_name: str
    schema: object
    element: "type | None"
    is_list: bool


def to_camel_case(name: str) -> str:
    """Convert ``snake_case`` or ``PascalCase`` to ``camelCase``."""
    text = re.sub("_([a-z])", lambda match: match[1].upper(), name)
    return text[0].lower() + text[1:]


def field_codecs(kind: type) -> tuple[FieldCodec, ...]:
    """Return the field codecs of the message class `kind`, from its annotations."""
    hints = typing.get_type_hints(kind)
    schema = getattr(SCHEMA, kind.__name__).schema.fields
    return tuple(
        field_codec(name, hint, schema[to_camel_case(name)])
        for name, hint in hints.items()
    )


def field_codec(name: str, hint: type, schema: object) -> FieldCodec:
    """Return the codec of one field, from its annotation."""
    is_list = typing.get_origin(hint) is tuple
    inner = typing.get_args(hint)[0] if is_list else hint
    element = inner if hasattr(inner, "_fields") else None
    return FieldCodec(name, to_camel_case(name), schema, element, is_list)


CODECS = {
    kind: field_codecs(kind)
    for kind in vars(messages).values()
    if isinstance(kind, type) and hasattr(kind, "_fields")
}
WIRE_NAMES = {kind: to_camel_case(kind.__name__) for kind in CODECS}
FRAME_FIELDS = SCHEMA.Frame.schema.fields
ID_FIELD, REPLY_TO_FIELD = FRAME_FIELDS["id"], FRAME_FIELDS["replyTo"]
# Messages that a frame can carry; the other classes are nested in them.
FRAME_MESSAGES: dict[str, type] = {
    name: kind
    for kind, name in WIRE_NAMES.items()
    if name in SCHEMA.Frame.schema.union_fields
}


def write(builder, message: tuple) -> None:
    """Fill a Cap'n Proto builder from a message."""
    put = builder._set_by_field
    for codec, value in zip(CODECS[type(message)], message, strict=True):
        if not codec.is_list:
            put(codec.schema, value)
        elif value:
            items = builder.init(codec.wire_name, len(value))
            write_items(items, value, codec)


def write_items(items, values: tuple, codec: FieldCodec) -> None:
    """Fill a Cap'n Proto list."""
    for position, value in enumerate(values):
        if codec.element is None:
            items[position] = value
        else:
            write(items[position], value)


def read(reader, kind: type) -> tuple:
    """Build a message of `kind` from a Cap'n Proto reader."""
    get = reader._get_by_field
    return kind._make(
        [
            read_list(get(codec.schema), codec) if codec.is_list else get(codec.schema)
            for codec in CODECS[kind]
        ]
    )


def read_list(items, codec: FieldCodec) -> tuple:
    """Read a Cap'n Proto list."""
    if codec.element is None:
        return tuple(items)
    return tuple([read(item, codec.element) for item in items])


def encode(frame: Frame) -> bytes:
    """Encode a frame's header and message, without the body.

    Returns
    -------
    bytes
        Header and message; append ``frame.body`` on the wire.
    """
    root = SCHEMA.Frame.new_message(id=frame.id, replyTo=frame.reply_to)
    write(root.init(WIRE_NAMES[type(frame.message)]), frame.message)
    payload = root.to_bytes()
    return HEADER.pack(MAGIC, len(payload), len(frame.body)) + payload


@functools.lru_cache(LOAD_CACHE_SIZE)
def encode_load(load: messages.Load) -> bytes:
    """Encode a load as a one-way message.

    Each engine sends its load to all entries near it about ten times a second. With
    the cache, equal loads are encoded once and decoded once.
    """
    return encode(Frame(NO_ID, 0, load))


def parse_header(header: bytes) -> tuple[int, int]:
    """Return the lengths of message and body.

    Raises
    ------
    WireError
        FRAME_MALFORMED: the header does not start with `MAGIC`.
        FRAME_TOO_LARGE: a length exceeds its limit.
    """
    magic, message_bytes, body_bytes = HEADER.unpack(header)
    if magic != MAGIC:
        raise WireError(
            ResultCode.FRAME_MALFORMED, f"expected magic {MAGIC!r}, got {magic!r}"
        )
    if message_bytes > MAX_MESSAGE_BYTES or body_bytes > MAX_BODY_BYTES:
        raise WireError(
            ResultCode.FRAME_TOO_LARGE,
            f"expected at most {MAX_MESSAGE_BYTES} + {MAX_BODY_BYTES} bytes,"
            f" got {message_bytes} + {body_bytes}",
        )
    return message_bytes, body_bytes


def decode(payload: bytes, body: bytes = b"") -> Frame:
    """Decode a message.

    Raises
    ------
    WireError
        FRAME_MALFORMED: the payload is not a valid frame.
    """
    if len(payload) == LOAD_BYTES and not body:
        return decode_cached(payload)
    return decode_uncached(payload, body)


def decode_uncached(payload: bytes, body: bytes = b"") -> Frame:
    """Decode a message without the cache; see `decode`."""
    try:
        with SCHEMA.Frame.from_bytes(
            payload, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as root:
            name = root._which_str()
            message = read(root._get_by_field(FRAME_FIELDS[name]), FRAME_MESSAGES[name])
            frame_id = root._get_by_field(ID_FIELD)
            return Frame(frame_id, root._get_by_field(REPLY_TO_FIELD), message, body)
    except (capnp.KjException, ValueError, KeyError, UnicodeDecodeError) as error:
        raise WireError(
            ResultCode.FRAME_MALFORMED, f"expected a frame: {error}"
        ) from error


# For frames of the length of a load; other messages of that length have frame ids and
# hardly ever repeat.
decode_cached = functools.lru_cache(LOAD_CACHE_SIZE)(decode_uncached)
LOAD_BYTES = len(encode_load(messages.Load())) - HEADER.size
