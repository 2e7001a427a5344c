"""Steps of the scenarios, grouped by subject."""
