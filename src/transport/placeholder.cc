namespace bronzeroute {}
