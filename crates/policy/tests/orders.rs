//! Orders for assigned, held and needed models, and their convergence.

use policy::orders::Models;
use policy::orders::Order;
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

fn order(assigned: &[&str], held: &[&str], under_replicated: &[&str]) -> Option<Order> {
    let (assigned, held, under_replicated) =
        (models(assigned), models(held), models(under_replicated));
    next(Models { assigned: &assigned, held: &held, under_replicated: &under_replicated })
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
        assigned in btree_set("[a-f]", 1..4),
        held in btree_set("[a-f]", 0..6),
        under_replicated in btree_set("[a-f]", 0..3),
    ) {
        let assigned: Vec<String> = assigned.into_iter().collect();
        let under_replicated: Vec<String> = under_replicated.into_iter().collect();
        let mut held = held;
        for _ in 0..STEPS {
            let current: Vec<String> = held.iter().cloned().collect();
            let models = Models {
                assigned: &assigned,
                held: &current,
                under_replicated: &under_replicated,
            };
            match next(models) {
                Some(Order::Load(model)) => prop_assert!(held.insert(model)),
                Some(Order::Unload(model)) => {
                    prop_assert!(!under_replicated.contains(&model));
                    prop_assert!(held.remove(&model));
                }
                None => break,
            }
        }
        let current: Vec<String> = held.iter().cloned().collect();
        prop_assert_eq!(
            next(Models {
                assigned: &assigned,
                held: &current,
                under_replicated: &under_replicated,
            }),
            None
        );
        prop_assert!(assigned.iter().all(|model| held.contains(model)));
    }
}
