from chiveridge_standins import node_configs


def test_settings_are_merged_into_the_node_configuration():
    settings = {"placement": {"policy": "other"}, "limits": {"jobs": "5"}}
    config = node_configs.node_config("ikeja-e1", "ikeja", "http://127.0.0.1:1", settings)
    assert config["node"]["domain"] == "ikeja"
    assert config["platform"]["vms_url"] == "http://127.0.0.1:1"
    assert config["placement"]["policy"] == "other"
    assert config["limits"]["jobs"] == "5"
