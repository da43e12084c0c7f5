// Command egretdock runs and operates the load balancer.
package main

func main() {}
