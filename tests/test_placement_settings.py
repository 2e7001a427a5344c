"""The settings that turn on the placement by warmth and by halls."""

import pytest

from adapter.settings import read_settings
from adapter.terms import make_dispatch_settings
from hingepitch.error import HingepitchError
from tests.test_platform import SETTINGS

BOUNDS = "stop_ms: 200"


@pytest.fixture
def load(tmp_path):
    def load_text(text):
        path = tmp_path / "local.yaml"
        path.write_text(text)
        return read_settings(str(path))

    return load_text


@pytest.fixture
def settings(load):
    def load_with(bounds="", zones="0"):
        text = SETTINGS.replace(BOUNDS, f"{BOUNDS}, {bounds}" if bounds else BOUNDS)
        return load(text.replace("zones: 0", f"zones: {zones}"))

    return load_with


# Guards against new placement rules where the settings do not ask for them, and
# against settings that are read and then not used.
def test_settings_turn_the_placement_rules_on(settings):
    terms = make_dispatch_settings(settings())
    assert not terms.takes_cold_last and not terms.spreads_over_halls
    terms = make_dispatch_settings(settings("cold_slack: 5"))
    assert not terms.takes_cold_last
    terms = make_dispatch_settings(settings("cold_overage: 1.5, cold_slack: 5", "1"))
    assert terms.takes_cold_last and terms.spreads_over_halls
    terms = make_dispatch_settings(settings("cold_overage: 0"))
    assert terms.takes_cold_last


BAD_VALUES = [
    ("bounds.cold_overage", -0.5),
    ("bounds.cold_slack", -1),
    ("bounds.cold_slack", ".nan"),
    ("bounds.evacuate_ms", 0),
    ("fault_tolerance.zones", -1),
    ("fault_tolerance.zones", "null"),
    ("zones", "{hall-a: null}"),
    ("zones", "[hall-a]"),
]


def replace_setting(path, value):
    """Return the text of the settings with another value of one setting."""
    section, _, name = path.rpartition(".")
    if name == "zones" and section:
        return SETTINGS.replace("zones: 0", f"zones: {value}")
    if section:
        return SETTINGS.replace(BOUNDS, f"{BOUNDS}, {name}: {value}")
    return SETTINGS + f"{name}: {value}\n"


# Guards against a limit that is negative or no number, by which no minion gets work,
# and against halls that are not known, where operators may cordon halls.
@pytest.mark.parametrize("path, value", BAD_VALUES)
def test_an_impossible_value_is_refused_where_places_is_named(load, path, value):
    with pytest.raises(HingepitchError) as caught:
        load(replace_setting(path, value) + "contracts: [tenants, places]\n")
    assert caught.value.detail.startswith(f"{path}")


# Guards against a deployment that no longer starts because of a value that earlier
# builds did not read.
@pytest.mark.parametrize("contracts", ["", "contracts: [tenants, pressure]\n"])
@pytest.mark.parametrize("path, value", BAD_VALUES)
def test_an_impossible_value_is_ignored_where_places_is_not_named(
    load, path, value, contracts
):
    assert load(replace_setting(path, value) + contracts) == load(SETTINGS + contracts)


# Guards against other errors that are hidden by a value that is ignored.
def test_other_errors_are_reported_beside_an_ignored_value(load):
    with pytest.raises(HingepitchError) as caught:
        load(SETTINGS.replace(BOUNDS, "stop_ms: x, evacuate_ms: 0"))
    assert caught.value.detail.startswith("bounds.stop_ms:")
    assert "evacuate_ms" not in caught.value.detail
