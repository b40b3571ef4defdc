"""Frames: a fixed header, a Cap'n Proto message, then raw bytes.

Chunk and answer bodies travel behind the message rather than in a Data field,
so that they are never copied into a Cap'n Proto segment.
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


# A header alone repeats the sender's last heartbeat: most links have nothing new
# to tell most of the time, and a whole heartbeat takes 180 bytes.
KEEP_ALIVE = HEADER.pack(MAGIC, 0, 0)
# Frame id of news that take no answer.
NO_ID = 0
# Different loads of engines that are remembered encoded, and as many decoded: the
# requests that run and wait at one of them are some dozens.
LOAD_CACHE_SIZE = 512


class Frame(NamedTuple):
    """One message with its correlation numbers and raw body."""

    id: int
    reply_to: int
    message: tuple
    body: bytes = b""


class FieldCodec(NamedTuple):
    """How one field of a message is written and read.

    Attributes
    ----------
    name : str
        In the message class.
    wire_name : str
        In the schema.
    schema : capnp schema field
        Its entry there: access by name looks it up again each time.
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
    """Turn ``snake_case`` or ``PascalCase`` into ``camelCase``."""
    text = re.sub("_([a-z])", lambda match: match[1].upper(), name)
    return text[0].lower() + text[1:]


def field_codecs(kind: type) -> tuple[FieldCodec, ...]:
    """Work out the fields of the message class `kind` from its annotations."""
    hints = typing.get_type_hints(kind)
    schema = getattr(SCHEMA, kind.__name__).schema.fields
    return tuple(
        field_codec(name, hint, schema[to_camel_case(name)])
        for name, hint in hints.items()
    )


def field_codec(name: str, hint: type, schema: object) -> FieldCodec:
    """Work out one field from its annotation."""
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
# Only these stand in a frame by themselves.
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
    """Encode a frame's header and message; the body goes behind them.

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
    """Encode a load as news.

    Load: each engine tells its load to all entries near it some ten times a second.
    Gain: equal loads are encoded once, and decoded once.
    """
    return encode(Frame(NO_ID, 0, load))


def parse_header(header: bytes) -> tuple[int, int]:
    """Read the lengths of message and body.

    Raises
    ------
    WireError
        The header is not ours, or a length is over its limit.
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
        The payload is not a valid frame.
    """
    if len(payload) == LOAD_BYTES and not body:
        return decode_cached(payload)
    return decode_uncached(payload, body)


def decode_uncached(payload: bytes, body: bytes = b"") -> Frame:
    """Decode a message that is not remembered; see `decode`."""
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


# Frames as short as a load; those with an id of their own hardly ever repeat.
decode_cached = functools.lru_cache(LOAD_CACHE_SIZE)(decode_uncached)
LOAD_BYTES = len(encode_load(messages.Load())) - HEADER.size
