//! When a dependency counts as lost and as back.

use {
    dogwoodreach::{
        Time,
        contact::{Contact, News},
    },
    std::time::Duration,
};

#[test]
fn lost_and_back_are_told_once() {
    let ms = Time::from_millis;
    let mut contact = Contact::default();
    assert_eq!(contact.called(true, ms(1)), None);
    assert_eq!(contact.called(false, ms(100)), None);
    assert_eq!(contact.called(false, ms(200)), None);
    assert_eq!(contact.called(false, ms(300)), Some(News::Lost(ms(100))));
    assert_eq!(contact.called(false, ms(400)), None);
    assert_eq!(contact.called(true, ms(900)), Some(News::Back(Duration::from_millis(800))));
    assert_eq!(contact.called(true, ms(901)), None);
}

#[test]
fn one_failure_between_answers_is_no_loss() {
    let mut contact = Contact::default();
    for i in 0..100 {
        let news = contact.called(i % 3 == 0, Time::from_millis(i));
        assert_eq!(news, None, "call {i}");
    }
}
