# One real balancer in limits.memory_mb, read by `run` in balancer.toml into its own shell. The shell becomes the virtual machine:
# it may start no other program and must not fork, so the figure is found with what the shell has built in.
memory=
while read -r line || [ -n "$line" ]; do
  case $line in
    *'"memory_mb"'*)
      memory=${line#*'"memory_mb"'}
      memory=${memory#"${memory%%[!: ]*}"}
      memory=${memory%%[!0-9]*}
      break ;;
  esac
done < "${ROUTER_CONFIG:-/dev/null}"
# Missing, not a positive whole number, or more than any machine has: what the program takes for such a limit as well.
case $memory in ''|0*|???????*) memory=192 ;; esac

# Beside heap and buffers the VM with its archives, code and stacks takes some 60 MB: half of what is left is heap (12 MB at
# least), touched at the start so that memory does not grow later; an eighth is for buffers, taken in pieces of half a megabyte
# (8 KiB by 2 to the 6th): in the pieces of 4 MB that are usual not one fits into the smallest share.
heap=$(( (memory - 64) / 2 ))
heap=$(( heap < 12 ? 12 : heap > 64 ? 64 : heap ))
buffers=$(( memory < 32 ? 4 : memory / 8 ))

exec java -XX:SharedArchiveFile=target/load-balancer.jsa -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -XX:CompileThresholdScaling=0.5 -Xms${heap}m -Xmx${heap}m -XX:+AlwaysPreTouch -XX:MaxDirectMemorySize=${buffers}m \
  -XX:MaxMetaspaceSize=32m -XX:ReservedCodeCacheSize=16m -Xss512k -XX:-UsePerfData -Dio.netty.jfr.enabled=false \
  -Dio.netty.leakDetection.level=disabled -Dio.netty.allocator.type=pooled -Dio.netty.allocator.numHeapArenas=1 \
  -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.maxOrder=6 -XX:+ExitOnOutOfMemoryError -jar target/load-balancer.jar serve
