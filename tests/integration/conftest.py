"""Fixtures for tests that run real processes."""

import pytest

from chiveridge_load import deployments


@pytest.fixture(scope="session")
def team() -> deployments.TeamPlan:
    return deployments.TeamPlan(name="dispatch-desk", secret="secret-of-the-tests")
