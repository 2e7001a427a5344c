"""The promises during failures of real processes; `tests/steps` has the steps."""

import pytest
from pytest_bdd import scenarios

from tests.scene import Scene

scenarios("budget.feature", "one_pool.feature", "request.feature")
scenarios("leaving.feature", "config.feature")


@pytest.fixture
def scene():
    scene = Scene()
    yield scene
    scene.close()
