"""Steps of the scenarios, by what they are about."""
