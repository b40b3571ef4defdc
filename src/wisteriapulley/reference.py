"""Generates the reference pages that mirror code."""

from collections.abc import Iterator
from pathlib import Path

from wisteriapulley.errors import CODE_TABLE

RESULT_CODES_PAGE = Path("docs/reference/result-codes.md")


def result_code_lines() -> Iterator[str]:
    """Yield the lines of the result code table."""
    yield "# Result codes"
    yield ""
    yield "Generated from `src/wisteriapulley/errors.py` by `make docs`."
    yield ""
    yield "| code | name | meaning | HTTP | not run | what to do |"
    yield "| --- | --- | --- | --- | --- | --- |"
    for code, entry in CODE_TABLE.items():
        promise = "yes" if entry.not_run else ""
        yield (
            f"| {int(code)} | {code.name} | {entry.meaning} | {entry.http_status}"
            f" | {promise} | {entry.action} |"
        )


def main() -> None:
    """Write the pages."""
    RESULT_CODES_PAGE.parent.mkdir(parents=True, exist_ok=True)
    RESULT_CODES_PAGE.write_text("\n".join(result_code_lines()) + "\n")


if __name__ == "__main__":
    main()
