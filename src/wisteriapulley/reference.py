"""Generate the reference pages from the code."""

import dataclasses
import inspect
import typing
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from wisteriapulley import cli
from wisteriapulley.errors import CODE_TABLE
from wisteriapulley.settings import SETTINGS_BY_ROLE, Address, Peer
from wisteriapulley.wire import messages

FOLDER = Path("docs/reference")
RESULT_CODES_PAGE = FOLDER / "result-codes.md"


def page_header(title: str, source: str) -> Iterator[str]:
    """Yield the title and the source note of a page."""
    yield f"# {title}"
    yield ""
    yield f"Generated from `src/wisteriapulley/{source}` by `make docs`."
    yield ""


def table_header(*names: str) -> Iterator[str]:
    """Yield the header rows of a Markdown table."""
    yield f"| {' | '.join(names)} |"
    yield "|" + " --- |" * len(names)


def result_code_lines() -> Iterator[str]:
    """Yield the page of result codes."""
    yield from page_header("Result codes", "errors.py")
    yield from table_header("code", "name", "meaning", "HTTP", "not run", "what to do")
    for code, entry in CODE_TABLE.items():
        not_run = "yes" if entry.not_run else ""
        yield (
            f"| {int(code)} | {code.name} | {entry.meaning} | {entry.http_status}"
            f" | {not_run} | {entry.action} |"
        )


def type_text(hint: object) -> str:
    """Return the name of a type as it appears in JSON or on the wire."""
    if hint is Address:
        return "ip:port"
    if hint is Peer:
        return "object of node_id and address"
    arguments = typing.get_args(hint)
    if typing.get_origin(hint) is tuple:
        return f"list of {type_text(arguments[0])}"
    if arguments:
        return " or ".join(type_text(a) for a in arguments if a is not type(None))
    return getattr(hint, "__name__", str(hint))


def setting_lines() -> Iterator[str]:
    """Yield the page of settings, by role."""
    yield from page_header("Settings", "settings.py")
    yield "One JSON object per daemon; `wisteriapulley settings check ROLE FILE`"
    yield "validates it."
    for role, kind in SETTINGS_BY_ROLE.items():
        yield ""
        yield f"## {role}"
        yield ""
        meanings = read_attribute_docs(kind)
        yield from table_header("key", "type", "default", "meaning")
        for field in msgspec.structs.fields(kind):
            default = "required"
            if field.default is not msgspec.NODEFAULT:
                default = f"`{msgspec.json.encode(field.default).decode()}`"
            meaning = meanings.get(field.name, "")
            kind_text = type_text(field.type)
            yield f"| `{field.name}` | {kind_text} | {default} | {meaning} |"


def read_attribute_docs(kind: type) -> dict[str, str]:
    """Return the documentation of the attributes of a class and its bases."""
    found: dict[str, str] = {}
    for base in reversed(kind.__mro__):
        names: list[str] = []
        documented = inspect.cleandoc(base.__dict__.get("__doc__") or "")
        for line in documented.partition("Attributes\n")[2].splitlines():
            if " : " in line and not line.startswith(" "):
                names = line.partition(" : ")[0].split(", ")
                found |= dict.fromkeys(names, "")
            elif line.startswith("    "):
                for name in names:
                    found[name] = f"{found[name]} {line.strip()}".strip()
    return found


def command_lines() -> Iterator[str]:
    """Yield the page of commands with their arguments."""
    yield from page_header("Command line", "cli.py")
    yield "Exit status: 0, 1 on an error (its code and message on standard error), 2"
    yield "on wrong usage, 3 when `catalogue diff` finds a difference."
    yield from command_sections(cli.Main, ())


def command_sections(kind: type, names: tuple[str, ...]) -> Iterator[str]:
    """Yield the sections of a command and its subcommands."""
    command = kind.__cappa__
    names = (*names, command.name)
    hints = typing.get_type_hints(kind, include_extras=True)
    subcommands = hints.get("command")
    if subcommands is not None:
        for choice in typing.get_args(typing.get_args(subcommands)[0]):
            yield from command_sections(choice, names)
        return
    yield ""
    yield f"## `{' '.join(names)}`"
    yield ""
    yield command.help or ""
    fields = dataclasses.fields(kind)
    if fields:
        yield ""
        yield from table_header("argument", "meaning")
    for field in fields:
        yield f"| {argument_text(field, hints[field.name])} |"


def argument_text(field: dataclasses.Field, hint: object) -> str:
    """Return the table cells of an argument: its name and help text."""
    argument = next(a for a in hint.__metadata__ if hasattr(a, "help"))
    spelling = field.name
    if argument.long:
        spelling = f"--{field.name.replace('_', '-')}"
    return f"`{spelling}` | {argument.help}"


def wire_lines() -> Iterator[str]:
    """Yield the page of wire messages."""
    yield from page_header("Wire", "wire/messages.py")
    yield "Frames between the system's own processes; `wire/messages.capnp` is the"
    yield "schema, and a test keeps both in sync. Raw bodies follow their message."
    for name, kind in vars(messages).items():
        if not (inspect.isclass(kind) and hasattr(kind, "_fields")):
            continue
        yield ""
        yield f"## {name}"
        yield ""
        yield (inspect.getdoc(kind) or "").partition("\n\n")[0].replace("\n", " ")
        yield ""
        yield from table_header("field", "type")
        for field, hint in typing.get_type_hints(kind).items():
            yield f"| `{field}` | {type_text(hint)} |"


PAGES: dict[Path, Callable[[], Iterator[str]]] = {
    RESULT_CODES_PAGE: result_code_lines,
    FOLDER / "settings.md": setting_lines,
    FOLDER / "cli.md": command_lines,
    FOLDER / "wire.md": wire_lines,
}


def main() -> None:
    """Write all pages."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for page, lines in PAGES.items():
        page.write_text("\n".join(lines()) + "\n")


if __name__ == "__main__":
    main()
