//! The controller as the shared start-up sequence runs it.

use crate::driver::{self, DriverError};
use lichenfield_engine::process::settings::Settings;
use lichenfield_runtime::Executor;
use lichenfield_runtime::startup::{Daemon, DaemonConfig};
use std::net::SocketAddrV4;

/// The optional settings that a controller needs.
pub struct RequiredSettings {
    /// The address of the HTTP interface for instances and operators.
    pub control: SocketAddrV4,
    /// The store's folder.
    pub data_path: String,
}

/// The control plane's daemon.
pub struct ControllerDaemon;

impl Daemon for ControllerDaemon {
    const PROGRAM: &'static str = "lichenfield-controller";
    const REQUIRED_SETTINGS: &'static str = "listen.control and data-path";
    type Required = RequiredSettings;
    type Error = DriverError;

    fn required(settings: &Settings) -> Option<RequiredSettings> {
        Some(RequiredSettings { control: settings.listen.control?, data_path: settings.data_path.clone()? })
    }

    async fn serve(executor: Executor, config: DaemonConfig<RequiredSettings>) -> Result<(), DriverError> {
        driver::serve(executor, config).await
    }
}
