//! When a dependency counts as lost and as back.

use {
    dogwoodreach::{
        Time,
        contact::{Contact, News, Speed, Tempo},
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

#[test]
fn a_slow_store_is_told_once_and_again_when_it_is_quick() {
    // Story: for four seconds the store answers late, and loses and refuses nothing. Jobs are late
    // at all members alike, and no line says why. A single late answer is none; five of nine are.
    let ms = Duration::from_millis;
    let mut speed = Speed::default();
    let mut told = vec![];
    let answers = [4, 4, 4, 4, 4, 400, 4, 4, 4, 4].into_iter();
    let late = answers.chain([150; 20]).chain([30; 20]).chain([4; 20]);
    for (i, time) in late.enumerate() {
        told.extend(speed.answered(ms(time)).map(|t| (i, t)));
    }
    assert_eq!(told, [(13, Tempo::Slow(ms(150))), (54, Tempo::Quick(ms(4)))]);
}
