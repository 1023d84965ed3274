//! Stand-in for the platform's VM list, which lags behind the actual state of the VMs.

use {
    crate::web::{Reply, json},
    dogwoodreach::{
        http::answer,
        messages::{Vm, VmList, VmState},
    },
    hyper::http::request::Parts,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// Faults of the list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Age of the list, in milliseconds.
    pub lag: u64,
    /// Whether calls for the list stay unanswered.
    pub outage: bool,
}

#[derive(Default)]
struct State {
    vms: BTreeMap<Box<str>, Vm>,
    history: VecDeque<(Instant, VmList)>,
    faults: Faults,
}

/// A change of one VM's state; `None` removes the VM.
#[derive(Deserialize)]
struct Mark {
    worker: Box<str>,
    state: Option<VmState>,
}

/// The VM list.
#[derive(Clone, Default)]
pub struct Vms {
    state: Arc<Mutex<State>>,
}

impl Vms {
    /// Answers one call.
    pub async fn handle(self, head: Parts, body: &[u8]) -> Reply {
        match (head.method.as_str(), head.uri.path()) {
            ("GET", "/v1/vms") => {
                let (list, outage) = {
                    let state = self.state.lock().expect("no holder panics");
                    (current(&state), state.faults.outage)
                };
                if outage {
                    std::future::pending::<()>().await;
                }
                json(&list)
            }
            // Only the stand-in has these calls: workers enter themselves, and tests mark VMs as
            // leaving or gone.
            ("PUT", "/enter") => self.change(body, |state, list: VmList| {
                state.vms.extend(list.vms.into_iter().map(|vm| (vm.worker.0.clone(), vm)));
            }),
            ("PUT", "/mark") => self.change(body, |state, mark: Mark| match mark.state {
                Some(s) => {
                    if let Some(vm) = state.vms.get_mut(&mark.worker) {
                        vm.state = s;
                    }
                }
                None => {
                    state.vms.remove(&mark.worker);
                }
            }),
            ("PUT", "/fault") => self.change(body, |state, faults| state.faults = faults),
            _ => answer(404, "no such call"),
        }
    }

    fn change<T: serde::de::DeserializeOwned>(
        &self,
        body: &[u8],
        change: impl FnOnce(&mut State, T),
    ) -> Reply {
        let value = match serde_json::from_slice(body) {
            Ok(value) => value,
            Err(e) => return answer(400, e.to_string()),
        };
        let mut state = self.state.lock().expect("no holder panics");
        change(&mut state, value);
        let list = VmList { vms: state.vms.values().cloned().collect() };
        state.history.push_back((Instant::now(), list));
        answer(200, "{}")
    }
}

/// The list as it was before the configured lag.
fn current(state: &State) -> VmList {
    let now = Instant::now();
    let lag = Duration::from_millis(state.faults.lag);
    let old = state.history.iter().rev().find(|(at, _)| now - *at >= lag);
    old.map_or(VmList { vms: vec![] }, |(_, list)| list.clone())
}
