//! Tests of the configuration of customers.

use dogwoodreach::{
    customers::{Customer, Customers, KeyDigest, bearer_key, cap_from, cap_text},
    ids::CustomerId,
    units::Size,
};

fn customer(name: &str) -> Customer {
    Customer { name: CustomerId::from(name), weight: 1.0, cap: cap_from(Size::default()) }
}

fn problems(customers: &Customers) -> Vec<String> {
    customers.problems().iter().map(ToString::to_string).collect()
}

#[test]
fn a_key_of_two_customers_counts_for_the_first() {
    let mut customers = Customers::default();
    customers.add(customer("ann"), ["k1", "k2"]);
    customers.add(customer("bob"), ["k2", "k3"]);
    let name = |key| customers.by_key(&KeyDigest::of(key)).map(CustomerId::as_str);
    assert_eq!([name("k1"), name("k2"), name("k3")], [Some("ann"), Some("ann"), Some("bob")]);
    let text = problems(&customers).join("\n");
    assert!(text.contains("customers ann and bob") && !text.contains("k2"), "{text}");
}

#[test]
fn a_repeated_name_keeps_the_first_entry_and_all_keys() {
    let mut customers = Customers::default();
    customers.add(customer("ann"), ["k1"]);
    customers.add(Customer { weight: 9.0, ..customer("ann") }, ["k2"]);
    let ann = CustomerId::from("ann");
    assert_eq!(customers.get(&ann).map(|c| c.weight), Some(1.0));
    assert_eq!(customers.by_key(&KeyDigest::of("k2")), Some(&ann));
    assert_eq!(problems(&customers).len(), 1);
}

#[test]
fn a_name_that_fits_into_no_key_of_the_store_is_left_out() {
    let mut customers = Customers::default();
    customers.add(customer(&"n".repeat(200)), ["k1"]);
    customers.add(customer(""), ["k2"]);
    customers.add(customer("ann"), ["k3"]);
    assert_eq!(customers.iter().count(), 1);
    assert_eq!(customers.by_key(&KeyDigest::of("k1")), None);
    assert_eq!(problems(&customers).len(), 2);
}

#[test]
fn a_limit_of_zero_is_no_limit() {
    let cap = cap_from(Size::new(0, 2048, 0));
    assert!(Size::new(100_000, 2048, 1000).fits(&cap));
    assert!(!Size::new(1, 2049, 0).fits(&cap));
    assert_eq!(&*cap_text(&cap), "2GB");
    assert_eq!(&*cap_text(&cap_from(Size::default())), "no limit");
}

#[test]
fn each_key_of_310_customers_leads_to_its_customer() {
    let mut customers = Customers::default();
    for c in 0..310 {
        let keys: Vec<String> = (0..12).map(|k| format!("key-{c}-{k}")).collect();
        customers.add(customer(&format!("c{c}")), keys.iter().map(String::as_str));
    }
    assert_eq!(customers.key_count(), 3720);
    for (c, k) in (0..310).flat_map(|c| (0..12).map(move |k| (c, k))) {
        let digest = bearer_key(&format!("Bearer key-{c}-{k}")).expect("a key");
        assert_eq!(customers.by_key(&digest).expect("known").as_str(), format!("c{c}"));
    }
}
