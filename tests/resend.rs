//! When an unanswered start is sent again.

use {
    dogwoodreach::{
        Time,
        decide::resend::{AnswerMonitor, MIN_RESEND_DELAY},
    },
    std::time::Duration,
};

const TIMEOUT: Duration = Duration::from_millis(500);

/// The delay after a hundred answers that took these times in turn, in milliseconds.
fn delay_after(answers_ms: &[u64]) -> Duration {
    let mut answers = AnswerMonitor::default();
    for ms in answers_ms.iter().cycle().take(100) {
        answers.record_answer(Time::ZERO, Time::from_millis(*ms));
    }
    answers.resend_delay(TIMEOUT)
}

#[test]
fn a_start_is_sent_again_early_while_answers_are_fast() {
    assert_eq!(delay_after(&[]), MIN_RESEND_DELAY);
    assert_eq!(delay_after(&[3, 8, 4]), MIN_RESEND_DELAY);
}

#[test]
fn slow_answers_prolong_the_delay_up_to_the_timeout() {
    // Guards against an overloaded owner that sends each start twice.
    assert!(delay_after(&[200]) >= Duration::from_millis(200));
    assert!(delay_after(&[50, 250]) > Duration::from_millis(250));
    assert_eq!(delay_after(&[900]), TIMEOUT);
}

#[test]
fn a_few_lost_starts_are_no_loss_of_calls() {
    // Guards against short holds at all workers because one of them has ended.
    let mut answers = AnswerMonitor::default();
    (1..=3).for_each(|ms| answers.record_loss(Time::from_millis(ms)));
    assert!(!answers.is_losing(Time::from_millis(10)));
    answers.record_loss(Time::from_millis(500));
    assert!(answers.is_losing(Time::from_millis(500)));
    assert!(!answers.is_losing(Time::from_millis(2_100)));
}
