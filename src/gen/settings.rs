//! The settings of a member, as they are once read.
//!
//! Written by `cargo run -p codegen` from `schema/settings.json`; not edited by hand.

///Limits towards callers.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    ///The largest body, in bytes.
    #[serde(default = "defaults::default_u64::<u64, 16777216>")]
    pub body: u64,
    ///The size of a connection's receive buffer in the system, in bytes; at least 2304.
    #[serde(default = "defaults::default_u64::<u64, 65536>")]
    pub buffer: u64,
    ///The most connections of callers at once.
    #[serde(default = "defaults::default_u64::<u64, 4096>")]
    pub connections: u64,
    ///The deadline of a request that names none, in milliseconds.
    #[serde(default = "defaults::limit_settings_deadline")]
    pub deadline: u64,
    ///The most bytes that are read after a refusal.
    #[serde(default = "defaults::default_u64::<u64, 1048576>")]
    pub drain: u64,
    ///The most connections of peers that forward requests at once.
    #[serde(default = "defaults::default_u64::<u64, 16384>")]
    pub forwarded: u64,
    ///The largest head of a request, in bytes; at least 8192.
    #[serde(default = "defaults::default_u64::<u64, 65536>")]
    pub head: u64,
    ///How long a caller may take for its headers, in milliseconds.
    #[serde(default = "defaults::limit_settings_header")]
    pub header: u64,
    ///The most bytes that the requests of all callers hold.
    #[serde(default = "defaults::default_u64::<u64, 268435456>")]
    pub held: u64,
    ///The most connections of peers at once, and of operators.
    #[serde(default = "defaults::default_u64::<u64, 2048>")]
    pub peers: u64,
}
impl ::std::default::Default for LimitSettings {
    fn default() -> Self {
        Self {
            body: defaults::default_u64::<u64, 16777216>(),
            buffer: defaults::default_u64::<u64, 65536>(),
            connections: defaults::default_u64::<u64, 4096>(),
            deadline: defaults::limit_settings_deadline(),
            drain: defaults::default_u64::<u64, 1048576>(),
            forwarded: defaults::default_u64::<u64, 16384>(),
            head: defaults::default_u64::<u64, 65536>(),
            header: defaults::limit_settings_header(),
            held: defaults::default_u64::<u64, 268435456>(),
            peers: defaults::default_u64::<u64, 2048>(),
        }
    }
}
///Logging.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    ///off, error, warn, info, debug or trace.
    #[serde(default = "defaults::log_settings_level")]
    pub level: ::std::boxed::Box<str>,
}
impl ::std::default::Default for LogSettings {
    fn default() -> Self {
        Self {
            level: defaults::log_settings_level(),
        }
    }
}
///The member itself.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    ///The address for requests that peers forward.
    pub bodies: ::std::net::SocketAddr,
    ///The address for callers.
    pub callers: ::std::net::SocketAddr,
    ///The address for peers' control calls.
    pub control: ::std::net::SocketAddr,
    ///The address of the metrics and readiness pages.
    pub metrics: ::std::net::SocketAddr,
    ///The address for operators.
    pub operators: ::std::net::SocketAddr,
    ///The key that peers and operators show; 16 characters or more.
    pub secret: ::std::boxed::Box<str>,
    ///Its availability zone.
    pub zone: crate::ids::Zone,
}
///The platform's addresses.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    ///The key-value service.
    pub kv: ::std::net::SocketAddr,
    ///The list of VMs.
    pub vms: ::std::net::SocketAddr,
}
///The settings of a member.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    ///Limits towards callers.
    #[serde(default = "defaults::settings_limits")]
    pub limits: LimitSettings,
    ///Logging.
    #[serde(default = "defaults::settings_log")]
    pub log: LogSettings,
    ///The member itself.
    pub member: MemberSettings,
    ///The platform's addresses.
    pub platform: PlatformSettings,
}
///`SettingsOfAMember`
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct SettingsOfAMember(pub ::serde_json::Value);
impl ::std::ops::Deref for SettingsOfAMember {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<SettingsOfAMember> for ::serde_json::Value {
    fn from(value: SettingsOfAMember) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for SettingsOfAMember {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn limit_settings_deadline() -> u64 {
        ::serde_json::from_str::<u64>("10000").unwrap()
    }
    pub(super) fn limit_settings_header() -> u64 {
        ::serde_json::from_str::<u64>("5000").unwrap()
    }
    pub(super) fn log_settings_level() -> ::std::boxed::Box<str> {
        ::serde_json::from_str::<::std::boxed::Box<str>>("\"info\"").unwrap()
    }
    pub(super) fn settings_limits() -> super::LimitSettings {
        super::LimitSettings {
            body: 16777216_u64,
            buffer: 65536_u64,
            connections: 4096_u64,
            deadline: ::serde_json::from_str::<u64>("10000").unwrap(),
            drain: 1048576_u64,
            forwarded: 16384_u64,
            head: 65536_u64,
            header: ::serde_json::from_str::<u64>("5000").unwrap(),
            held: 268435456_u64,
            peers: 2048_u64,
        }
    }
    pub(super) fn settings_log() -> super::LogSettings {
        super::LogSettings {
            level: ::serde_json::from_str::<::std::boxed::Box<str>>("\"info\"").unwrap(),
        }
    }
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
