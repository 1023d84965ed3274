//! Generates `src/gen/*.rs` from `schema/*.json`. With `--check`, writes nothing, reports for each
//! file whether it is current, and fails if one is not.

use {
    schemars::schema::{InstanceType, RootSchema, SchemaObject},
    std::{env, error::Error, fs, path::Path, process::ExitCode},
    typify::{TypeSpace, TypeSpaceImpl, TypeSpaceSettings},
};

/// JSON type, `format` and the Rust type that the generated code uses for them.
const FORMATS: &[(InstanceType, Option<&str>, &str)] = &[
    (InstanceType::String, None, "::std::boxed::Box<str>"),
    (InstanceType::String, Some("socket-addr"), "::std::net::SocketAddr"),
    (InstanceType::String, Some("incarnation"), "crate::ids::Incarnation"),
    (InstanceType::String, Some("request-id"), "crate::ids::RequestId"),
    (InstanceType::String, Some("submission-id"), "crate::ids::SubmissionId"),
    (InstanceType::String, Some("worker-id"), "crate::ids::WorkerId"),
    (InstanceType::String, Some("rack-id"), "crate::ids::RackId"),
    (InstanceType::String, Some("zone"), "crate::ids::Zone"),
    (InstanceType::String, Some("service-id"), "crate::ids::ServiceId"),
    (InstanceType::String, Some("pool-id"), "crate::ids::PoolId"),
    (InstanceType::String, Some("job-id"), "crate::ids::JobId"),
    (InstanceType::String, Some("team-id"), "crate::ids::TeamId"),
    (InstanceType::String, Some("key"), "crate::ids::Key"),
    (InstanceType::String, Some("row-id"), "crate::ids::RowId"),
    (InstanceType::Integer, Some("epoch"), "crate::ids::Epoch"),
    (InstanceType::Integer, Some("version"), "crate::ids::Version"),
    (InstanceType::Integer, Some("revision"), "crate::ids::Revision"),
    (InstanceType::Integer, Some("attempt"), "crate::ids::Attempt"),
    (InstanceType::Integer, Some("bucket"), "crate::ids::Bucket"),
    (InstanceType::Integer, Some("milliseconds"), "u64"),
    (InstanceType::Object, Some("size"), "crate::units::Size"),
    (InstanceType::Object, Some("task-id"), "crate::ids::TaskId"),
];

/// Name of each schema file and generated module, with the module's doc comment.
const PARTS: &[(&str, &str)] = &[
    ("messages", "Messages between members, and with the platform, workers and operators."),
    ("settings", "The settings of a member, as they are once read."),
];

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let check = env::args().any(|a| a == "--check");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut stale = false;
    for (part, doc) in PARTS {
        let schema = fs::read_to_string(root.join(format!("schema/{part}.json")))?;
        let code = generate(&schema, part, doc)?;
        let path = root.join(format!("src/gen/{part}.rs"));
        if check {
            let current = fs::read_to_string(&path).unwrap_or_default() == code;
            println!("src/gen/{part}.rs {}", if current { "is current" } else { "is stale" });
            stale |= !current;
        } else {
            fs::write(path, code)?;
        }
    }
    Ok(if stale { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn generate(schema: &str, part: &str, doc: &str) -> Result<String, Box<dyn Error>> {
    let root: RootSchema = serde_json::from_str(schema)?;
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".into());
    for (kind, format, name) in FORMATS {
        let from = SchemaObject {
            instance_type: Some((*kind).into()),
            format: format.map(String::from),
            ..SchemaObject::default()
        };
        settings.with_conversion(from, *name, [TypeSpaceImpl::Display].into_iter());
    }
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(root)?;
    let code = prettyplease::unparse(&syn::parse2(space.to_stream())?);
    Ok(format!(
        "//! {doc}\n//!\n//! Written by `cargo run -p codegen` from `schema/{part}.json`; not edited by hand.\n\n{code}"
    ))
}
