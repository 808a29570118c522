"""Shared test set-up: log output, and hypothesis profiles with a fixed seed and for fuzzing."""

import os

import hypothesis

from currantlead import logs

# loguru's default handler prints the representation of all variables of the stack, which takes up to a minute for an
# exception that is logged under pytest.
logs.configure(level="WARNING")

hypothesis.settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60)
hypothesis.settings.register_profile("fuzz", deadline=None, max_examples=2000)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
