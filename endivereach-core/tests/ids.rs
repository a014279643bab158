//! Tests for positions and names: ordering, text form and rejected input.

use endivereach_core::cases;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::Position;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Term;
use proptest::prelude::*;

proptest! {
    #[test]
    fn position_round_trips_through_text(term in any::<u64>(), index in any::<u64>()) {
        let position = Position::new(term, index);
        prop_assert_eq!(position.to_string().parse::<Position>().unwrap(), position);
    }

    #[test]
    fn a_higher_term_is_always_newer(term in 0..1000u64, a in any::<u64>(), b in any::<u64>()) {
        prop_assert!(Position::new(term + 1, a) > Position::new(term, b));
    }
}

fn check_rejected(text: &str) {
    assert!(text.parse::<GroupName>().is_err(), "{text:?} was accepted");
}

cases! {
    check_rejected;
    empty_name: "";
    name_with_space: "member ledger";
    name_with_newline: "a\nb";
    name_too_long: &"a".repeat(129);
}

// Guards against a number that is read from text that isn't one: `parse` accepts a sign.
fn is_no_number(text: &str) {
    assert!(text.parse::<Term>().is_err(), "{text:?} was accepted");
}

cases! {
    is_no_number;
    number_with_a_plus: "+3";
    number_with_a_minus: "-3";
    number_with_a_space: "3 ";
    no_digits: "";
    digits_of_another_script: "\u{0663}";
    number_over_64_bits: "18446744073709551616";
}

#[test]
fn proxy_id_text_contains_its_incarnation() {
    let id: ProxyId = "entry-1#42".parse().unwrap();
    assert_eq!(id.to_string(), "entry-1#42");
    assert!("entry-1".parse::<ProxyId>().is_err());
}
