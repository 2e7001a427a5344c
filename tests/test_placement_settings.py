"""The settings that turn on the placement by warmth and by halls."""

import pytest

from adapter.settings import read_settings
from adapter.terms import make_dispatch_settings
from hingepitch.error import HingepitchError
from hingepitch.jobs.terms import ColdTerms
from tests.test_platform import SETTINGS

BOUNDS = "stop_ms: 200"


@pytest.fixture
def settings(tmp_path):
    def load(bounds="", zones="0"):
        path = tmp_path / "local.yaml"
        text = SETTINGS.replace(BOUNDS, f"{BOUNDS}, {bounds}" if bounds else BOUNDS)
        path.write_text(text.replace("zones: 0", f"zones: {zones}"))
        return read_settings(str(path))

    return load


# Guards against new placement rules where the settings do not ask for them, and
# against settings that are read and then not used.
def test_settings_turn_the_placement_rules_on(settings):
    terms = make_dispatch_settings(settings())
    assert terms.cold is None and not terms.spreads_over_halls
    terms = make_dispatch_settings(settings("cold_slack: 5"))
    assert terms.cold is None
    terms = make_dispatch_settings(settings("cold_overage: 1.5, cold_slack: 5", "1"))
    assert terms.cold == ColdTerms(1.5, 5) and terms.spreads_over_halls
    terms = make_dispatch_settings(settings("cold_overage: 0"))
    assert terms.cold == ColdTerms(0, 0)


# Guards against a limit that is negative or no number, by which no minion gets work.
@pytest.mark.parametrize(
    "name, value", [("cold_overage", -0.5), ("cold_slack", -1), ("cold_slack", ".nan")]
)
def test_an_impossible_limit_is_refused(settings, name, value):
    with pytest.raises(HingepitchError) as caught:
        settings(f"{name}: {value}")
    assert caught.value.detail.startswith(f"bounds.{name}:")


# Guards against a negative number of halls.
def test_a_negative_number_of_halls_is_refused(settings):
    with pytest.raises(HingepitchError) as caught:
        settings(zones="-1")
    assert caught.value.detail.startswith("fault_tolerance.zones:")
