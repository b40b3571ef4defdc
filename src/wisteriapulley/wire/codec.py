"""Frames: a fixed header, a Cap'n Proto message, then raw bytes.

Chunk and answer bodies travel behind the message rather than in a Data field,
so that they are never copied into a Cap'n Proto segment.
"""

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
TRAVERSAL_WORDS = MAX_MESSAGE_BYTES // 4


# A header alone repeats the sender's last heartbeat: most links have nothing new
# to tell most of the time, and a whole heartbeat takes 180 bytes.
KEEP_ALIVE = HEADER.pack(MAGIC, 0, 0)


class Frame(NamedTuple):
    """One message with its correlation numbers and raw body."""

    id: int
    reply_to: int
    message: tuple
    body: bytes = b""


class FieldCodec(NamedTuple):
    """How one field of a message is written and read."""

    name: str
    wire_name: str
    element: "type | None"
    is_list: bool


def camel(name: str) -> str:
    """Turn ``snake_case`` or ``PascalCase`` into ``camelCase``."""
    text = re.sub("_([a-z])", lambda match: match[1].upper(), name)
    return text[0].lower() + text[1:]


def field_codecs(kind: type) -> tuple[FieldCodec, ...]:
    """Work out the fields of the message class `kind` from its annotations."""
    hints = typing.get_type_hints(kind)
    return tuple(field_codec(name, hint) for name, hint in hints.items())


def field_codec(name: str, hint: type) -> FieldCodec:
    """Work out one field from its annotation."""
    is_list = typing.get_origin(hint) is tuple
    inner = typing.get_args(hint)[0] if is_list else hint
    element = inner if hasattr(inner, "_fields") else None
    return FieldCodec(name, camel(name), element, is_list)


CODECS = {
    kind: field_codecs(kind)
    for kind in vars(messages).values()
    if isinstance(kind, type) and hasattr(kind, "_fields")
}
WIRE_NAMES = {kind: camel(kind.__name__) for kind in CODECS}
# Only these stand in a frame by themselves.
KINDS: dict[str, type] = {
    name: kind
    for kind, name in WIRE_NAMES.items()
    if name in SCHEMA.Frame.schema.union_fields
}


def write(builder, message: tuple) -> None:
    """Fill a Cap'n Proto builder from a message."""
    for codec, value in zip(CODECS[type(message)], message, strict=True):
        if not codec.is_list:
            setattr(builder, codec.wire_name, value)
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
    return kind(*(read_field(reader, codec) for codec in CODECS[kind]))


def read_field(reader, codec: FieldCodec) -> object:
    """Read one field."""
    value = getattr(reader, codec.wire_name)
    if not codec.is_list:
        return value
    if codec.element is None:
        return tuple(value)
    return tuple(read(item, codec.element) for item in value)


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
    try:
        with SCHEMA.Frame.from_bytes(
            payload, traversal_limit_in_words=TRAVERSAL_WORDS
        ) as root:
            kind = KINDS[root.which()]
            message = read(getattr(root, root.which()), kind)
            return Frame(root.id, root.replyTo, message, body)
    except (capnp.KjException, ValueError, KeyError, UnicodeDecodeError) as error:
        raise WireError(
            ResultCode.FRAME_MALFORMED, f"expected a frame: {error}"
        ) from error
