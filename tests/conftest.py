"""Settings of Hypothesis for all tests: derandomized, so that CI results are reproducible."""

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.register_profile("dev", parent=settings.get_profile("ci"), derandomize=False)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
