/**
 * The configuration that the platform provides to a load balancer: the file of one instance ({@link
 * loadbalancer.config.BalancerConfig}) and the settings of its decision engine ({@link
 * loadbalancer.config.SettingsDecoder}), which the simulator provides in the same form.
 */
package loadbalancer.config;
