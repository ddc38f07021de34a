//! Accepted keys before, during and after a key rotation.

use wire::Key;

fn is_shown(key: &Key, shown: &Key) -> bool {
    key.is_shown(Some(shown.bearer().as_bytes()))
}

#[test]
fn only_the_same_key_is_accepted() {
    let key = Key::new("one");
    assert!(is_shown(&key, &Key::new("one")));
    assert!(!is_shown(&key, &Key::new("two")));
    assert!(!key.is_shown(None));
    assert!(!key.is_shown(Some(b"one")));
}

#[test]
fn peers_one_step_of_a_key_rotation_apart_accept_each_other() {
    let old = Key::new("one");
    let accepts_new = Key::with_accepted("one", Some("two"));
    let shows_new = Key::with_accepted("two", Some("one"));
    let new = Key::new("two");
    let steps = [old, accepts_new, shows_new, new];
    for pair in steps.windows(2) {
        assert!(is_shown(&pair[0], &pair[1]) && is_shown(&pair[1], &pair[0]));
    }
    assert!(!is_shown(&steps[0], &steps[3]) && !is_shown(&steps[3], &steps[0]));
}
