//! Estimated sizes and run times, compared with declared ones.

use {
    dogwoodreach::{
        decide::estimate::{Action, Estimates},
        units::{Cores, Memory, Size},
    },
    fastrand::Rng,
    std::time::Duration,
};

const DECLARED: Size =
    Size { cores: Cores(1000), memory: Memory(1024), accels: dogwoodreach::units::Accels(0) };

// Operators declare 1 GB and one minute; the tasks use up to 3 GB and run for five minutes.
// Reserved as declared, the tasks exceed the memory of most workers. With observed sizes, only the
// first task does.
#[test]
fn history_corrects_memory_and_run_time() {
    let (mut e, mut rng) = (Estimates::default(), Rng::with_seed(3));
    let job = "j".into();
    let (mut over, mut plain, mut late, mut plain_late) = (0, 0, 0, 0);
    for _ in 0..200 {
        let used = Size { memory: Memory(rng.u64(2700..=3000)), ..DECLARED };
        let run = Duration::from_secs(rng.u64(240..=360));
        over += u32::from(!used.fits(&e.reservation_size(&job, DECLARED)));
        plain += u32::from(!used.fits(&DECLARED));
        late += u32::from(run > e.expected_run_time(&job, Duration::from_secs(60)));
        plain_late += u32::from(run > Duration::from_secs(60));
        e.record_end(&job, run, used);
    }
    println!("over memory {over} (declared {plain}), longer than estimated {late} ({plain_late})");
    assert_eq!((over, plain, plain_late), (1, 200, 200));
    assert!(late <= 30);
    let run = e.expected_run_time(&job, Duration::from_secs(60)).as_secs();
    assert!((330..=390).contains(&run), "too long, each batch would look late: {run}");
}

// A job that uses less than declared keeps its reservation, because the need may still occur. One
// unusual run among the first must not replace the declared time.
#[test]
fn declared_sizes_are_the_least_and_two_runs_prove_nothing() {
    let mut e = Estimates::default();
    let (job, declared) = ("j".into(), Duration::from_secs(600));
    (0..2).for_each(|_| e.record_end(&job, Duration::from_secs(1), Size::new(0, 10, 0)));
    assert_eq!(
        (e.reservation_size(&job, DECLARED), e.expected_run_time(&job, declared)),
        (DECLARED, declared)
    );
    e.record_end(&job, Duration::from_secs(1), Size::new(0, 10, 0));
    assert!(e.expected_run_time(&job, declared) < Duration::from_secs(5));
}

// Nineteen of twenty tasks use 1 to 3 cores, and one uses 8. If the peak were reserved, workers
// would be half idle; with the mean, most of its tasks would use more than is reserved for them.
#[test]
fn processors_are_reserved_by_a_high_quantile() {
    let (mut e, mut rng) = (Estimates::default(), Rng::with_seed(5));
    let (job, mut short) = ("j".into(), 0);
    for i in 0..2000 {
        let cores = if rng.u32(0..20) == 0 { 8000 } else { rng.u64(1000..3000) };
        let used = Size { cores: Cores(cores), ..DECLARED };
        short += u32::from(i >= 200 && !used.fits(&e.reservation_size(&job, DECLARED)));
        e.record_end(&job, Duration::from_secs(60), used);
    }
    let cores = e.reservation_size(&job, DECLARED).cores;
    println!("reserved {cores} cores, {short} of 1800 used more");
    assert!((2600..=4000).contains(&cores.0) && (90..=270).contains(&short));
}

// A task leaks memory on a full worker. If it kept running, it would take its neighbours' memory,
// and the kernel would kill one of them. If it were restarted with the same size, this would repeat
// for ever.
#[test]
fn an_outgrown_task_is_raised_or_stopped_and_its_next_attempt_reserves_more() {
    let mut e = Estimates::default();
    let job = "j".into();
    let used = Size { memory: Memory(1100), ..DECLARED };
    let busy = Size { cores: Cores(1500), ..DECLARED };
    let (full, room) = (Size::default(), Size::new(0, 4096, 0));
    assert_eq!(e.check_use(&job, DECLARED, DECLARED, full), Action::Keep);
    assert_eq!(e.check_use(&job, busy, DECLARED, room), Action::Keep);
    let more = Size { memory: Memory(1650), ..DECLARED };
    assert_eq!(e.check_use(&job, used, DECLARED, room), Action::Raise(more));
    assert_eq!(e.check_use(&job, used, DECLARED, full), Action::Stop);
    let needs = Memory(2600);
    let attempts = (0..20).find(|_| {
        let reserved = e.reservation_size(&job, DECLARED);
        let used = Size { memory: Memory(needs.0.min(reserved.memory.0 + 1)), ..DECLARED };
        e.check_use(&job, used, reserved, full) == Action::Keep || reserved.memory >= needs
    });
    assert_eq!(attempts, Some(1), "each stop adds half, so few attempts are lost");
}
