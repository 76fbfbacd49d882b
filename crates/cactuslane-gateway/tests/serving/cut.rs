//! Instances that are cut off from all targets while callers and other instances reach them.

use std::net::SocketAddr;

use cactuslane_gateway::GatewayHandle;
use cactuslane_platform_standin::link::{Blackhole, Cut, Link};
use yare::parameterized;

use crate::deployment::{Deployment, all_events, deploy, run_test, start_fleet};

/// Address at which nothing listens.
const CLOSED: &str = "127.0.0.1:1";
/// Number of requests in a row that must be served by an instance that is cut off.
const SERVED: u32 = 12;

/// The links between an instance and all targets of a deployment.
pub struct Links {
    /// Address of each target, with the link to it.
    links: Vec<(SocketAddr, Link)>,
    /// Address to which no connection is made.
    blackhole: Blackhole,
}

impl Links {
    /// Leads the connections of an instance to all targets through links.
    pub async fn lay(deployment: &Deployment, running: &GatewayHandle) -> Self {
        let mut links = Vec::new();
        let targets = deployment.workers.iter().chain(&deployment.engines);
        for target in targets.chain([&deployment.prefill]) {
            let link = Link::bind(target.address).await;
            let link = link.expect("a port can be bound");
            running.gateway.pool.use_proxy(target.address, link.address);
            links.push((target.address, link));
            running.gateway.pool.close_idle(&target.id);
        }
        let blackhole = Blackhole::bind().await.expect("a port can be bound");
        Self { links, blackhole }
    }

    /// Cuts all links: new connections hang or are refused.
    pub fn cut(&self, running: &GatewayHandle, cut: Cut) {
        let unreachable = match cut {
            Cut::Hang => self.blackhole.address,
            Cut::Reset => CLOSED.parse().expect("it is an address"),
        };
        for (target, link) in &self.links {
            running.gateway.pool.use_proxy(*target, unreachable);
            link.set_cut(Some(cut));
        }
    }

    /// Restores all links.
    pub fn heal(&self, running: &GatewayHandle) {
        for (target, link) in &self.links {
            running.gateway.pool.use_proxy(*target, link.address);
            link.set_cut(None);
        }
    }
}

/// Sends requests of all kinds until so many in a row are served, and returns their ids.
async fn serve_in_a_row(deployment: &Deployment, name: &str) -> Vec<String> {
    let mut served = Vec::new();
    let mut number = 0;
    while served.len() < SERVED as usize {
        number += 1;
        let id = format!("{name}-{number}");
        let path = ["/lookup/7", "/correction/7", "/summary/7", "/report/7"][number % 4];
        let answer = deployment.ask(path, &id).await;
        let is_stream = number % 4 > 1;
        let whole = answer.complete && (!is_stream || answer.body == all_events());
        if answer.status == 200 && whole {
            served.push(id);
        } else {
            served.clear();
        }
    }
    served
}

/// Guards against refusals of callers by an instance that alone lost its links to all targets.
#[parameterized(
    hanging = { Cut::Hang },
    reset = { Cut::Reset },
)]
fn callers_of_an_instance_that_is_cut_off_from_all_targets_are_served(cut: Cut) {
    run_test(async move {
        let deployment = deploy().await;
        let _fleet = start_fleet(&deployment).await;
        let links = Links::lay(&deployment, &deployment.running).await;
        serve_in_a_row(&deployment, "before").await;
        links.cut(&deployment.running, cut);
        for id in serve_in_a_row(&deployment, "during").await {
            assert_eq!(deployment.runs(&id), 1, "{id}");
        }
        links.heal(&deployment.running);
        for id in serve_in_a_row(&deployment, "after").await {
            assert_eq!(deployment.runs(&id), 1, "{id}");
        }
    });
}
