"""The settings reference page matches the settings classes."""

import pathlib

from tools import settings_reference

ROOT = pathlib.Path(__file__).parent.parent


def test_settings_page_matches_generated_reference() -> None:
    page = ROOT / 'docs' / 'operators' / 'settings.md'
    assert page.read_text(encoding='utf-8') == settings_reference.reference()


def test_every_setting_has_a_meaning() -> None:
    rows = settings_reference.reference().split('\n')
    empty = [row for row in rows if row.endswith('|  |')]
    assert not empty
