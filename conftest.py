"""Where pytest finds the steps of the scenarios."""

# Those that others import come first, so that their asserts are explained too.
pytest_plugins = [
    "tests.steps.operator",
    "tests.steps.process",
    "tests.steps.beginning",
    "tests.steps.failure",
    "tests.steps.outcome",
    "tests.steps.request",
]
