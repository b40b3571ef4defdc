import pytest

from tests.fleet import ROOT
from wisteriapulley.reference import PAGES


class TestPages:
    @pytest.mark.parametrize("page", PAGES, ids=str)
    def test_page_is_up_to_date(self, page):
        assert (ROOT / page).read_text() == "\n".join(PAGES[page]()) + "\n"
