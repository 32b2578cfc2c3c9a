use super::*;

#[test]
fn a_key_is_read_back_as_what_it_was_written_from() {
    let keys = [
        (UpdateKey::Config, "c/"),
        (UpdateKey::Voters, "q/"),
        (UpdateKey::Epoch("orders/db"), "e/orders/db"),
        (UpdateKey::DrainingInstance("i-1"), "d/i-1"),
        (UpdateKey::PoolerShare("pooler-1"), "s/pooler-1"),
    ];
    for (key, text) in keys {
        assert_eq!(key.to_string(), text);
        assert_eq!(UpdateKey::parse(text), Some(key));
    }
    assert_eq!(UpdateKey::parse("i/i-1"), None, "instances are not part of the control state");
    assert_eq!(UpdateKey::parse("c"), None);
}
