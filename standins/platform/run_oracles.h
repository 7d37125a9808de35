#pragma once

namespace bronzeroute::standin {

class account_oracle;
class configuration_oracle;
class placement_oracle;
class upstream_oracle;

/// The oracles of one run; each judges some of the rules.
struct run_oracles {
  configuration_oracle& configuration;
  upstream_oracle& upstreams;
  placement_oracle& placement;
  account_oracle& accounts;
};

}  // namespace bronzeroute::standin
