import pytest

from chiveridge_client import errors, settings


def test_flags_override_the_file(tmp_path):
    (tmp_path / "key").write_text("team.secret\n")
    config = tmp_path / "client.ini"
    config.write_text(
        f"[client]\nnodes = 10.0.0.1:1, [::1]:2\nactor = ada\ncredential_file = {tmp_path}/key\n"
    )
    loaded = settings.load(str(config), {"actor": "bo", "nodes": ""})
    assert loaded.node_urls == ["http://10.0.0.1:1", "http://[::1]:2"]
    assert (loaded.actor, loaded.credential) == ("bo", "team.secret")


def test_reports_every_invalid_setting(tmp_path):
    config = tmp_path / "client.ini"
    config.write_text("[client]\nnodes = localhost:1\ncolour = red\nlog_url = http://10.0.0.1\n")
    with pytest.raises(errors.InvalidInputError) as caught:
        settings.load(str(config), {"credential": "nodot", "stream": "a/b"})
    names = [problem.partition(":")[0] for problem in caught.value.problems]
    assert names == ["nodes", "colour", "log_url", "credential", "stream"]
