//! A stand-in for a database group and the platform, to try the daemons on one machine: three instances that speak
//! the protocol and send heartbeats, and a platform API that promotes them.

use lichenfield_runtime::byte_stream::ByteStream;
use lichenfield_runtime::http::{self, HttpResponse, OutboundRequest};
use lichenfield_runtime::{Executor, Shared, shared};
use lichenfield_simulator::database::{self, DatabaseInstance, GroupContext, GroupLog, Response};
use lichenfield_simulator::judge::Judge;
use smol::Async;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

const USAGE: &str = "usage: fake-database SERVICE IP FIRST-PORT CONTROLLER\n\
    instances listen at FIRST-PORT to FIRST-PORT+2 of IP, the platform's API at FIRST-PORT+3;\n\
    CONTROLLER is the ip:port of a controller, which the instances send heartbeats to";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// From a call of the platform to the promotion.
const PROMOTION_TIME: Duration = Duration::from_millis(300);
const INSTANCES: u16 = 3;

/// The command line.
struct Arguments {
    service: String,
    ip: Ipv4Addr,
    first_port: u16,
    controller: SocketAddrV4,
}

impl Arguments {
    fn parse(words: &[String]) -> Option<Self> {
        let [service, ip, first_port, controller] = words else { return None };
        Some(Arguments {
            service: service.clone(),
            ip: ip.parse().ok()?,
            first_port: first_port.parse().ok()?,
            controller: controller.parse().ok()?,
        })
    }

    /// Address of an instance, or of the platform's API, which follows the last one.
    fn address(&self, number: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.first_port + number)
    }
}

/// The instances and what they share.
struct Group {
    instances: Vec<DatabaseInstance>,
    log: GroupLog,
    started: Instant,
}

impl Group {
    fn new(arguments: &Arguments) -> Self {
        let instance = |number| {
            let id = format!("i-{}", arguments.first_port + number);
            DatabaseInstance::new(id, &arguments.service, "local".into(), number == 0)
        };
        Group { instances: (0..INSTANCES).map(instance).collect(), log: GroupLog::new(), started: Instant::now() }
    }

    fn receive(&mut self, index: usize, connection: u64, text: &str) -> Response {
        let now = self.started.elapsed();
        self.instances[index].replicate(now, &self.log);
        // Clients may ask anything here, so that nothing is judged.
        let mut context = GroupContext { now, log: &mut self.log, judge: &mut Judge::default() };
        self.instances[index].receive(connection, text, &mut context)
    }

    fn promote(&mut self, id: &str) {
        let Some(index) = self.instances.iter().position(|instance| instance.id == id) else { return };
        let now = self.started.elapsed();
        if database::promote(&mut self.instances, index, now, &mut self.log).is_some() {
            println!("{id} is the primary of term {}", self.log.term);
        }
    }
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let Some(arguments) = Arguments::parse(&words) else {
        eprintln!("{USAGE}");
        return ExitCode::FAILURE;
    };
    match lichenfield_runtime::run(|executor| serve(executor, arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fake-database: can't listen: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(executor: Executor, arguments: Arguments) -> std::io::Result<()> {
    let group = shared(Group::new(&arguments));
    for number in 0..INSTANCES {
        listen(executor, Rc::clone(&group), number.into(), arguments.address(number))?;
    }
    let platform = arguments.address(INSTANCES);
    serve_platform(executor, Rc::clone(&group), platform)?;
    println!("{}: instances from {} on, the platform at {platform}", arguments.service, arguments.address(0));
    loop {
        for number in 0..INSTANCES {
            send_heartbeat(executor, &group, &arguments, number).await;
        }
        smol::Timer::after(HEARTBEAT_INTERVAL).await;
    }
}

/// Promotes the instance that a call names.
fn serve_platform(executor: Executor, group: Shared<Group>, address: SocketAddrV4) -> std::io::Result<()> {
    http::serve(executor, address, move |call| {
        println!("platform: {} {}", call.path, String::from_utf8_lossy(&call.body));
        let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap_or_default();
        if let Some(id) = body["id"].as_str().map(str::to_owned) {
            let group = Rc::clone(&group);
            executor
                .spawn(async move {
                    smol::Timer::after(PROMOTION_TIME).await;
                    group.borrow_mut().promote(&id);
                })
                .detach();
        }
        async { HttpResponse::status(200) }
    })?;
    Ok(())
}

async fn send_heartbeat(executor: Executor, group: &Shared<Group>, arguments: &Arguments, number: u16) {
    let (path, mut body) = {
        let mut group = group.borrow_mut();
        let instance = &mut group.instances[usize::from(number)];
        (format!("/api/instances/{}", instance.id), instance.next_heartbeat())
    };
    body["address"] = arguments.address(number).to_string().into();
    let body = body.to_string().into_bytes();
    let request = OutboundRequest {
        address: arguments.controller,
        method: "PUT",
        path: &path,
        headers: &[],
        body,
        timeout: HEARTBEAT_TIMEOUT,
    };
    if let Err(error) = http::send(executor, request, || true).await {
        println!("{path}: {error}");
    }
}

/// Accepts connections to an instance.
fn listen(executor: Executor, group: Shared<Group>, index: usize, address: SocketAddrV4) -> std::io::Result<()> {
    let listener = Async::<TcpListener>::bind(address)?;
    executor
        .spawn(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                connection += 1;
                executor.spawn(handle_connection(executor, Rc::clone(&group), index, connection, stream)).detach();
            }
        })
        .detach();
    Ok(())
}

/// Answers on a connection until it ends.
async fn handle_connection(
    executor: Executor,
    group: Shared<Group>,
    index: usize,
    connection: u64,
    stream: Async<TcpStream>,
) {
    let stream = ByteStream::connected(executor, stream);
    let answers = Rc::clone(&stream);
    let receiver = Rc::clone(&group);
    Rc::clone(&stream)
        .read(move |bytes| {
            let response = receiver.borrow_mut().receive(index, connection, &String::from_utf8_lossy(bytes));
            answers.write(response.text.as_bytes());
            if response.closes {
                answers.close();
            }
        })
        .await;
    group.borrow_mut().instances[index].close_connection(connection);
    stream.abort();
}
