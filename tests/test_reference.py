import pytest

from tests.fleet import ROOT
from wisteriapulley.reference import PAGES


class TestPages:
    @pytest.mark.parametrize("page", PAGES, ids=str)
    def test_page_is_what_the_code_generates(self, page):
        assert (ROOT / page).read_text() == "\n".join(PAGES[page]()) + "\n"
