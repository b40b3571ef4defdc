from pathlib import Path

from wisteriapulley.errors import CODE_TABLE, ResultCode, WisteriapulleyError
from wisteriapulley.reference import RESULT_CODES_PAGE, result_code_lines

ROOT = Path(__file__).parent.parent


class TestResultCodes:
    def test_every_code_has_an_entry(self):
        assert set(CODE_TABLE) == set(ResultCode)

    def test_page_is_generated_from_the_table(self):
        page = (ROOT / RESULT_CODES_PAGE).read_text()
        assert page == "\n".join(result_code_lines()) + "\n"

    def test_message_starts_with_the_code(self):
        error = WisteriapulleyError(ResultCode.NO_QUORUM, "why")
        assert str(error) == "WP206 NO_QUORUM: why"
