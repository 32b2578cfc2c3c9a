//! Loopback addresses of a run: a part of 127.0.0.0/8 that nobody uses.

use super::deployment::{DeploymentError, Role};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};

pub(super) const CONTROL_PORT: u16 = 8462;
pub(super) const SESSION_PORT: u16 = 8465;
pub(super) const READINESS_PORT: u16 = 8460;
const INSTANCE_PORT: u16 = 8482;
const PLATFORM_PORT: u16 = 8466;
/// The first and the last of the ports between daemons.
pub(super) const INTERNAL_PORTS: [u16; 2] = [7560, 7575];
/// Last parts of the addresses.
const FIRST_CONTROLLER: u8 = 11;
const FIRST_POOLER: u8 = 31;
const FIRST_INSTANCE: u8 = 231;
const PLATFORM: u8 = 241;
/// Networks that are tried.
const ATTEMPTS: u32 = 200;

/// A network of 256 addresses.
#[derive(Debug, Clone, Copy)]
pub(super) struct Addresses {
    network: [u8; 2],
}

impl Addresses {
    /// Looks for a network of which some addresses are free.
    pub(super) fn find() -> Result<Self, DeploymentError> {
        let start = std::process::id();
        let networks = (0..ATTEMPTS).map(|attempt| {
            let number = start.wrapping_mul(11).wrapping_add(attempt * 17);
            Addresses { network: [20 + (number % 200) as u8, (number / 200 % 250) as u8] }
        });
        let is_free = |addresses: &Addresses| {
            let sample = [addresses.platform(), addresses.instance(0), addresses.control(0), addresses.session(0)];
            sample.iter().all(|address| TcpListener::bind(address).is_ok())
        };
        networks.into_iter().find(is_free).ok_or(DeploymentError::NoAddresses)
    }

    fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], host)
    }

    pub(super) fn daemon(self, role: Role, number: usize) -> Ipv4Addr {
        let first = match role {
            Role::Controller => FIRST_CONTROLLER,
            Role::Pooler => FIRST_POOLER,
        };
        self.ip(first + number as u8)
    }

    pub(super) fn control(self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.daemon(Role::Controller, number), CONTROL_PORT)
    }

    pub(super) fn session(self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.daemon(Role::Pooler, number), SESSION_PORT)
    }

    pub(super) fn readiness(self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.daemon(Role::Pooler, number), READINESS_PORT)
    }

    pub(super) fn instance(self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(FIRST_INSTANCE + number as u8), INSTANCE_PORT)
    }

    pub(super) fn platform(self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(PLATFORM), PLATFORM_PORT)
    }
}
