"""Short soak runs of upgrades; for longer ones use ``make upgrades SEEDS=50``."""

from __future__ import annotations

import pytest

from soak.upgrades import run_seed


@pytest.mark.parametrize("seed", [1, 2])
def test_streams_stay_at_their_software_version_during_upgrades(tmp_path, seed):
    result = run_seed(seed, tmp_path)
    assert result.violations == []
    assert result.streams and result.went_on
