//! A test of the reports of customers' usage between members on a site.

#[path = "site/mod.rs"]
mod common;

use {
    common::{TestMember, forms::FORMS, store::Store},
    serde_json::Value,
};

/// The number of shards: so many that two members each get some.
const SHARDS: u16 = 16;

/// Returns how many calls to other members' `usage` have been answered.
async fn answered(member: &TestMember) -> u64 {
    let page = member.page("/metrics").await.1;
    let text = std::str::from_utf8(&page).expect("text").to_owned();
    let prefix = r#"dwr_calls_total{answer="done",call="usage"} "#;
    text.lines().find_map(|l| l.strip_prefix(prefix)?.parse().ok()).unwrap_or(0)
}

#[test]
fn owners_report_to_each_other_once_there_are_customers() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let store = Store::default();
        store.put(FORMS.config_key, r#"[1, ["/a/", "/b/"]]"#);
        store.put("workers/w1", "{}");
        store.put("dwr/t/layout", &format!(r#"{{"shards": {SHARDS}, "secret": "s"}}"#));
        let at = store.serve();
        let first = TestMember::join("usage-first", store.clone(), at).await;
        let second = TestMember::join("usage-second", store.clone(), at).await;
        // Released shards are distributed among the members.
        for key in store.keys("dwr/t/o/") {
            let row = store.get(&key).expect("a row");
            let mut row: Value = serde_json::from_str(&row.0).expect("JSON");
            row["token"] = (row["token"].as_u64().expect("a token") + 1).into();
            row["owner"] = Value::Null;
            store.put(&key, &row.to_string());
        }
        let owners = || {
            let rows = store.keys("dwr/t/o/").into_iter().filter_map(|key| store.get(&key));
            let owner =
                |text: &str| Some(serde_json::from_str::<Value>(text).ok()?["owner"].clone());
            rows.filter_map(|r| owner(&r.0)).map(|o| o.to_string()).collect::<Vec<_>>()
        };
        let distributed = async || {
            let mut all = owners();
            let whole = all.len() == usize::from(SHARDS) && !all.contains(&"null".to_owned());
            all.sort();
            all.dedup();
            whole && all.len() == 2
        };
        first.wait_until("two owners", distributed).await;
        assert_eq!((answered(&first).await, answered(&second).await), (0, 0));
        store.put(FORMS.config_key, r#"[2, ["/a/", "/b/"], {"ann": ["k1"]}]"#);
        for member in [&first, &second] {
            member.wait_until("answered reports", async || answered(member).await >= 3).await;
        }
    });
}
