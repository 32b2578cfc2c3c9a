//! A stand-in for a database group and the platform, for trying the daemons on one machine: three
//! instances that speak the wire, tell of themselves, and take over when the platform is called.

use lichenfield_runtime::byte_stream::ByteStream;
use lichenfield_runtime::http::{self, HttpResponse, OutboundRequest};
use lichenfield_runtime::{Executor, Shared, shared};
use lichenfield_simulator::instance::{self, Instance, Log};
use lichenfield_simulator::judge::Judge;
use smol::Async;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const USAGE: &str = "usage: fake-database SERVICE IP FIRST-PORT CONTROL\n\
    instances listen at FIRST-PORT to FIRST-PORT+2, the platform at FIRST-PORT+3; CONTROL is a controller's ip:port";
const BEAT: Duration = Duration::from_millis(1000);
const CALL: Duration = Duration::from_millis(800);
const PROMOTE: Duration = Duration::from_millis(300);
const INSTANCES: u16 = 3;

struct Group {
    instances: Vec<Instance>,
    log: Log,
    began: Instant,
}

impl Group {
    fn take(&mut self, at: usize, conn: u64, text: &str) -> (String, bool) {
        let now = self.began.elapsed();
        self.instances[at].follow(now, &self.log);
        // What clients may ask is not judged here.
        self.instances[at].take(now, conn, text, &mut self.log, &mut Judge::default())
    }

    fn promote(&mut self, id: &str) {
        let Some(at) = self.instances.iter().position(|i| i.id == id) else { return };
        if instance::promote(&mut self.instances, at, self.began.elapsed(), &mut self.log).is_some() {
            println!("{id} leads term {}", self.log.term);
        }
    }
}

fn main() -> Result<(), String> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [service, ip, port, control] = words.as_slice() else { return Err(USAGE.into()) };
    let (Ok(ip), Ok(port), Ok(control)) = (ip.parse::<Ipv4Addr>(), port.parse::<u16>(), control.parse()) else {
        return Err(USAGE.into());
    };
    lichenfield_runtime::run(|executor| serve(executor, service.clone(), ip, port, control))
        .map_err(|e| format!("can't listen: {e}"))
}

async fn serve(
    executor: Executor,
    service: String,
    ip: Ipv4Addr,
    port: u16,
    control: SocketAddrV4,
) -> std::io::Result<()> {
    let instance = |n| Instance::new(format!("i-{}", port + n), &service, "local".into(), n == 0);
    let group = shared(Group {
        instances: (0..INSTANCES).map(instance).collect(),
        log: Log { term: 1, ..Log::default() },
        began: Instant::now(),
    });
    for n in 0..INSTANCES {
        listen(executor, Rc::clone(&group), usize::from(n), SocketAddrV4::new(ip, port + n))?;
    }
    let platform = Rc::clone(&group);
    http::serve(executor, SocketAddrV4::new(ip, port + INSTANCES), move |call| {
        println!("platform: {} {}", call.path, String::from_utf8_lossy(&call.body));
        let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap_or_default();
        if let Some(id) = body["id"].as_str().map(str::to_owned) {
            let group = Rc::clone(&platform);
            executor
                .spawn(async move {
                    smol::Timer::after(PROMOTE).await;
                    group.borrow_mut().promote(&id);
                })
                .detach();
        }
        async { HttpResponse::status(200) }
    })?;
    println!("{service}: instances at {ip}:{port} and on, the platform at {ip}:{}", port + INSTANCES);
    loop {
        for n in 0..usize::from(INSTANCES) {
            let (path, body) = {
                let mut group = group.borrow_mut();
                let instance = &mut group.instances[n];
                let mut beat: serde_json::Value = serde_json::from_str(&instance.beat()).unwrap_or_default();
                beat["address"] = format!("{ip}:{}", usize::from(port) + n).into();
                (format!("/api/instances/{}", instance.id), beat.to_string())
            };
            let (method, body, timeout) = ("PUT", body.into_bytes(), CALL);
            let request = OutboundRequest { address: control, method, path: &path, headers: &[], body, timeout };
            let answer = http::send(executor, request, || true).await;
            if let Err(why) = answer {
                println!("{path}: {why}");
            }
        }
        smol::Timer::after(BEAT).await;
    }
}

fn listen(executor: Executor, group: Shared<Group>, n: usize, at: SocketAddrV4) -> std::io::Result<()> {
    let listener = Async::<TcpListener>::bind(at)?;
    executor
        .spawn(async move {
            let mut conn = 0;
            while let Ok((stream, _)) = listener.accept().await {
                conn += 1;
                executor.spawn(answer(executor, Rc::clone(&group), n, conn, stream)).detach();
            }
        })
        .detach();
    Ok(())
}

async fn answer(executor: Executor, group: Shared<Group>, n: usize, conn: u64, stream: Async<TcpStream>) {
    let pipe = ByteStream::connected(executor, stream);
    let back = Rc::clone(&pipe);
    let heard = Rc::clone(&group);
    Rc::clone(&pipe)
        .read(move |bytes| {
            let (answers, ends) = heard.borrow_mut().take(n, conn, &String::from_utf8_lossy(bytes));
            back.write(answers.as_bytes());
            if ends {
                back.close();
            }
        })
        .await;
    group.borrow_mut().instances[n].lines.remove(&conn);
    pipe.abort();
}
