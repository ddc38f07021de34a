//! Orders for assigned, held and needed models, and their convergence.

use policy::orders::Order;
use policy::orders::Situation;
use policy::orders::next;
use proptest::collection::btree_set;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

/// Number of orders within which an engine must reach its assignment.
const STEPS: usize = 20;

fn models(names: &[&str]) -> Vec<String> {
    names.iter().map(|&name| name.to_owned()).collect()
}

fn order(wanted: &[&str], held: &[&str], rare: &[&str]) -> Option<Order> {
    let (wanted, held, rare) = (models(wanted), models(held), models(rare));
    next(Situation { wanted: &wanted, held: &held, rare: &rare })
}

#[test]
fn a_model_is_loaded_before_another_is_unloaded() {
    assert_eq!(order(&["b"], &["a"], &[]), Some(Order::Load("b".into())));
    assert_eq!(order(&["b"], &["a", "b"], &[]), Some(Order::Unload("a".into())));
    assert_eq!(order(&["b"], &["b"], &[]), None);
}

#[test]
fn the_last_holder_keeps_a_model_that_services_need() {
    assert_eq!(order(&["b"], &["a", "b"], &["a"]), None);
}

#[test]
fn an_engine_without_an_assignment_keeps_what_it_holds() {
    assert_eq!(order(&[], &["a"], &[]), None);
}

proptest! {
    #[test]
    fn orders_converge_and_load_all_assigned_models(
        wanted in btree_set("[a-f]", 1..4),
        held in btree_set("[a-f]", 0..6),
        rare in btree_set("[a-f]", 0..3),
    ) {
        let wanted: Vec<String> = wanted.into_iter().collect();
        let rare: Vec<String> = rare.into_iter().collect();
        let mut held = held;
        for _ in 0..STEPS {
            let current: Vec<String> = held.iter().cloned().collect();
            let situation = Situation { wanted: &wanted, held: &current, rare: &rare };
            match next(situation) {
                Some(Order::Load(model)) => prop_assert!(held.insert(model)),
                Some(Order::Unload(model)) => {
                    prop_assert!(!rare.contains(&model));
                    prop_assert!(held.remove(&model));
                }
                None => break,
            }
        }
        let current: Vec<String> = held.iter().cloned().collect();
        prop_assert_eq!(next(Situation { wanted: &wanted, held: &current, rare: &rare }), None);
        prop_assert!(wanted.iter().all(|model| held.contains(model)));
    }
}
